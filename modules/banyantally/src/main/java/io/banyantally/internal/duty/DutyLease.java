package io.banyantally.internal.duty;

import io.banyantally.internal.adapter.WireFormat;
import io.banyantally.internal.deployment.GatewayStoreKeys;
import io.banyantally.internal.deployment.MemberList;
import io.banyantally.internal.deployment.StoreHealth;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.time.WallClock;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.model.FencingNumber;
import io.banyantally.model.VmId;
import io.banyantally.platform.CoordinationStore;
import io.banyantally.platform.CoordinationStore.StoreItem;
import io.banyantally.platform.DutyHolder;
import io.banyantally.platform.LeaseId;
import io.banyantally.platform.LeaseLapsedException;
import io.banyantally.platform.OutcomeUnknownException;
import io.banyantally.platform.RevisionConflictException;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.StoreTransaction;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;

/**
 * Decides which VM carries out the duties: the one whose lease holds one key. The revision that created the key is the
 * fencing number, which rises with every holder. A holder never gives the lease back early, so two terms are at least one
 * time to live apart and holders cannot alternate within that time.
 */
public final class DutyLease {

    /** Attempts to take or renew the lease; three in each time to live. */
    public static final Duration INTERVAL = Duration.ofSeconds(1);

    /** The part of the time to live that the holder leaves unused, for the way of a call to its receiver. */
    static final Duration SAFETY_MARGIN = Duration.ofMillis(800);

    private static final EventLog LOG = EventLog.of(DutyLease.class);

    private final CoordinationStore store;
    private final MemberList members;
    private final StoreHealth health;
    private final WallClock clock;
    private final VmId vm;
    private final String lifetime;
    private final Duration timeToLive;
    private int attempts;
    private boolean stopped;
    private Optional<LeaseId> lease = Optional.empty();
    private Optional<Term> term = Optional.empty();

    /**
     * Creates a lease that is not held.
     *
     * @param lifetime identifies this process among all that ever run on the VM
     * @param timeToLive how long the lease outlives its last renewal
     */
    public DutyLease(
            CoordinationStore store,
            MemberList members,
            StoreHealth health,
            WallClock clock,
            VmId vm,
            String lifetime,
            Duration timeToLive) {
        this.store = store;
        this.members = members;
        this.health = health;
        this.clock = clock;
        this.vm = vm;
        this.lifetime = lifetime;
        this.timeToLive = timeToLive;
    }

    /** Renews the lease if this VM holds it, and otherwise tries to take a free one. */
    public synchronized void refresh() {
        if (stopped) {
            return;
        }
        try {
            if (term.isPresent()) {
                renew();
            } else if (members.dutyHolder().isEmpty()) {
                acquire();
            } else if (isOwnWrite(members.dutyHolder().get())) {
                begin(members.dutyHolder().get().created(), clock.reading());
            }
        } catch (StoreException failure) {
            health.failed("duty lease", failure);
        }
    }

    /** Stops acting; the lease runs out by itself. */
    public synchronized void stop() {
        stopped = true;
        end("stopped");
    }

    /** Returns the holder if it is this VM. */
    public synchronized Optional<DutyHolder> held() {
        if (!mayAct()) {
            return Optional.empty();
        }
        long revision = term.get().revision().value();
        return Optional.of(new DutyHolder(vm, new FencingNumber(revision), () -> holds(revision)));
    }

    private synchronized boolean holds(long revision) {
        return mayAct() && term.get().revision().value() == revision;
    }

    private boolean mayAct() {
        return !stopped
                && term.isPresent()
                && clock.maximumElapsedSince(term.get().renewedAt()).compareTo(timeToLive.minus(SAFETY_MARGIN)) < 0;
    }

    private void renew() throws StoreException {
        WallClock.Reading asked = clock.reading();
        try {
            store.renewLease(lease.get());
            health.answered();
            // A lease that is renewed has never ended, so its key has stayed and no other VM has held the duties.
            term = Optional.of(new Term(term.get().revision(), asked));
        } catch (LeaseLapsedException lapsed) {
            health.answered();
            end("lapsed");
        }
    }

    private void acquire() throws StoreException {
        WallClock.Reading asked = clock.reading();
        if (lease.isEmpty()) {
            lease = Optional.of(store.grantLease(timeToLive));
        }
        attempts++;
        byte[] value = WireFormat.encode(new HolderRecord(vm, lifetime, attempts));
        try {
            StoreRevision revision = store.apply(StoreTransaction.create(GatewayStoreKeys.DUTY_HOLDER, value, lease));
            health.answered();
            begin(revision, asked);
        } catch (RevisionConflictException taken) {
            health.answered();
        } catch (LeaseLapsedException lapsed) {
            health.answered();
            lease = Optional.empty();
        } catch (OutcomeUnknownException unknown) {
            // The list of VMs shows whether the write took effect.
            health.failed("take duties", unknown);
        }
    }

    private boolean isOwnWrite(StoreItem item) {
        try {
            HolderRecord holder = WireFormat.decode(item.value(), HolderRecord.class);
            return lease.isPresent()
                    && holder.vm().equals(vm)
                    && holder.lifetime().equals(lifetime);
        } catch (IOException unreadable) {
            LOG.error("duty_holder_unreadable", unreadable, EventField.of("key", item.key()));
            return false;
        }
    }

    private void begin(StoreRevision revision, WallClock.Reading since) throws StoreException {
        store.renewLease(lease.get());
        term = Optional.of(new Term(revision, since));
        LOG.info("duties_taken", EventField.of("vm", vm), EventField.of("fencing", revision));
    }

    private void end(String reason) {
        if (term.isPresent()) {
            LOG.warn(
                    "duties_lost",
                    EventField.of("vm", vm),
                    EventField.of("fencing", term.get().revision()),
                    EventField.of("reason", reason));
        }
        term = Optional.empty();
        lease = Optional.empty();
    }

    private record Term(StoreRevision revision, WallClock.Reading renewedAt) {}

    /**
     * The value of the key.
     *
     * @param attempt tells writes of one process apart
     */
    record HolderRecord(VmId vm, String lifetime, int attempt) {}
}
