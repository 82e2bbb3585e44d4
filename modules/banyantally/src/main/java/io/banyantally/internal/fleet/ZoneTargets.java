package io.banyantally.internal.fleet;

import io.banyantally.internal.authority.Scope;
import io.banyantally.internal.authority.ScopePayloads;
import io.banyantally.internal.orders.ScopeTargets;
import io.banyantally.internal.orders.TargetSource;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ServiceName;
import io.banyantally.platform.StoreException;
import java.time.Duration;
import java.util.Optional;

/**
 * The targets of one zone in the plan of a service, for one ownership of the scope of the zone. The first read follows
 * the takeover, so the plan is not older than any that an earlier owner applied. Used by one task.
 */
final class ZoneTargets implements TargetSource {

    /** Interval between reads of the plan; 34 services in 20 zones make 136 reads a second. */
    static final Duration READ_INTERVAL = Duration.ofSeconds(5);

    /** A plan that was read longer ago is not applied. */
    static final Duration MAXIMUM_PLAN_AGE = Duration.ofSeconds(12);

    private final Scope planScope;
    private final AvailabilityZone zone;
    private final ScopePayloads records;
    private final MonotonicClock clock;
    private FleetPlan current = FleetPlan.NONE;
    private long nextReadAt;
    private long readAt;

    ZoneTargets(ServiceName service, AvailabilityZone zone, ScopePayloads records, MonotonicClock clock) {
        this.planScope = FleetScopes.planOf(service);
        this.zone = zone;
        this.records = records;
        this.clock = clock;
        this.nextReadAt = clock.nanoTime();
    }

    @Override
    public Optional<ScopeTargets> targets(Scope scope) {
        long now = clock.nanoTime();
        if (now - nextReadAt >= 0) {
            nextReadAt = now + READ_INTERVAL.toNanos();
            read(now);
        }
        boolean usable = current.number() > 0 && clock.nanoTime() - readAt < MAXIMUM_PLAN_AGE.toNanos();
        return usable ? current.targetsIn(zone) : Optional.empty();
    }

    /** Returns the number of the plan in use; 0 if none was read. */
    long planNumber() {
        return current.number();
    }

    private void read(long now) {
        try {
            Optional<byte[]> payload = records.payload(planScope);
            if (payload.isEmpty() || payload.get().length == 0) {
                return;
            }
            FleetPlan found = FleetPlan.CODEC.decode(payload.get());
            if (found.number() >= current.number()) {
                current = found;
                readAt = now;
            }
        } catch (StoreException | PeerException unavailable) {
            // The last plan remains in use until it is too old.
        }
    }
}
