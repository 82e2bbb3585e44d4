package io.banyantally.internal.fleet;

import io.banyantally.internal.authority.AuthorityLostException;
import io.banyantally.internal.authority.OwnedScope;
import io.banyantally.internal.authority.ScopeTask;
import io.banyantally.internal.configuration.ConfigurationView;
import io.banyantally.internal.configuration.ServiceTemplate;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.time.Sleeper;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ServiceName;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/**
 * The task of the owner of the scope {@code fleet-<service>}: plans the service and writes the plan to the record of
 * the scope. A new owner continues from the plan in the record, so the number of the plan never decreases.
 */
public final class FleetPlanTask implements ScopeTask {

    /** Interval between plans; each round lists the upstreams of all zones once. */
    static final Duration PLAN_INTERVAL = Duration.ofSeconds(5);

    private final ServiceName service;
    private final ConfigurationView configuration;
    private final DemandView demand;
    private final FleetMemberSource members;
    private final Supplier<Set<AvailabilityZone>> zones;
    private final FleetSettings settings;
    private final MonotonicClock clock;
    private final Sleeper sleeper;

    /** Creates the task, which keeps no state between two ownerships. */
    public FleetPlanTask(
            ServiceName service,
            ConfigurationView configuration,
            DemandView demand,
            FleetMemberSource members,
            Supplier<Set<AvailabilityZone>> zones,
            FleetSettings settings,
            MonotonicClock clock,
            Sleeper sleeper) {
        this.service = service;
        this.configuration = configuration;
        this.demand = demand;
        this.members = members;
        this.zones = zones;
        this.settings = settings;
        this.clock = clock;
        this.sleeper = sleeper;
    }

    @Override
    public void run(OwnedScope scope) throws InterruptedException {
        try {
            FleetPlan plan = readPlan(scope);
            FleetPlanBuilder maker = new FleetPlanBuilder(settings);
            while (scope.isGranted()) {
                plan = planOnce(scope, plan, maker);
                sleeper.sleep(PLAN_INTERVAL);
            }
        } catch (AuthorityLostException lost) {
            scope.abandon(lost.getMessage());
        }
    }

    static FleetPlan readPlan(OwnedScope scope) throws AuthorityLostException {
        byte[] payload = scope.payload();
        try {
            return payload.length == 0 ? FleetPlan.NONE : FleetPlan.CODEC.decode(payload);
        } catch (PeerException unreadable) {
            throw new AuthorityLostException("the plan of " + scope.scope() + " is not readable", unreadable);
        }
    }

    /** Plans once and writes the plan if its targets differ from the previous one; returns the plan in force. */
    FleetPlan planOnce(OwnedScope scope, FleetPlan previous, FleetPlanBuilder maker)
            throws AuthorityLostException, InterruptedException {
        ServiceTemplate template = configuration.current().services().get(service);
        List<AvailabilityZone> currentZones = List.copyOf(zones.get());
        Optional<List<FleetMember>> listed = members.members(service);
        Optional<Demand> observed = demand.demand(service);
        if (template == null || currentZones.isEmpty() || listed.isEmpty() || observed.isEmpty()) {
            return previous;
        }
        FleetPlan next =
                maker.nextPlan(previous, template, observed.get(), listed.get(), currentZones, clock.nanoTime());
        if (next.hasSameTargets(previous) || !scope.isGranted()) {
            return previous;
        }
        scope.write(Math.max(next.number(), scope.sequence() + 1), FleetPlan.CODEC.encode(next));
        return next;
    }
}
