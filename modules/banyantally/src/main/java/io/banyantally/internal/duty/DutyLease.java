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
 * Elects the VM that carries out the duties, by a key in the store that the lease of the elected VM holds. The revision
 * that created the key is the fencing number, which rises with every holder. A holder never revokes its lease, so two
 * terms begin at least one time to live apart and holders cannot alternate faster than that.
 */
public final class DutyLease {

    /** How often to call {@link #refresh}: three times in each time to live. */
    public static final Duration INTERVAL = Duration.ofSeconds(1);

    /**
     * How long before its lease expires the holder stops acting, so that calls reach their receivers before the expiry.
     */
    static final Duration SAFETY_MARGIN = Duration.ofMillis(800);

    private static final EventLog LOG = EventLog.of(DutyLease.class);

    private final CoordinationStore store;
    private final MemberList members;
    private final StoreHealth health;
    private final WallClock clock;
    private final VmId vm;
    private final String incarnation;
    private final Duration timeToLive;
    private int attempts;
    private Optional<LeaseId> lease = Optional.empty();
    private WallClock.Reading leaseRequestedAt;

    // Read without the lock, which a call to a slow store holds.
    private volatile boolean stopped;
    private volatile Optional<Term> term = Optional.empty();

    /**
     * Creates a lease that is not held.
     *
     * @param incarnation identifies this process among all that ever run on the VM
     * @param timeToLive how long the lease lasts after its last renewal
     */
    public DutyLease(
            CoordinationStore store,
            MemberList members,
            StoreHealth health,
            WallClock clock,
            VmId vm,
            String incarnation,
            Duration timeToLive) {
        this.store = store;
        this.members = members;
        this.health = health;
        this.clock = clock;
        this.vm = vm;
        this.incarnation = incarnation;
        this.timeToLive = timeToLive;
        this.leaseRequestedAt = clock.reading();
    }

    /** Renews the lease if this VM holds it, and otherwise tries to acquire it. */
    public synchronized void refresh() {
        if (stopped) {
            return;
        }
        Optional<StoreItem> entry = members.dutyHolder();
        try {
            if (term.isPresent()) {
                renew();
            } else if (entry.isEmpty()) {
                acquire();
            } else {
                elect(entry.get());
            }
        } catch (LeaseLapsedException lapsed) {
            health.answered();
            endTerm("lapsed");
        } catch (StoreException failure) {
            health.failed("duty lease", failure);
        }
    }

    /** Stops using the lease, which then expires. */
    public void stop() {
        stopped = true;
        synchronized (this) {
            endTerm("stopped");
        }
    }

    /** Returns this VM as the holder of the duties; empty if it does not hold a valid lease. */
    public Optional<DutyHolder> held() {
        return validTerm().map(Term::revision).map(this::holder);
    }

    private DutyHolder holder(StoreRevision revision) {
        return new DutyHolder(
                vm,
                new FencingNumber(revision.value()),
                () -> validTerm()
                        .filter(current -> current.revision().equals(revision))
                        .isPresent());
    }

    private Optional<Term> validTerm() {
        return stopped ? Optional.empty() : term.filter(this::isValid);
    }

    private boolean isValid(Term current) {
        return clock.maximumElapsedSince(current.renewedAt()).compareTo(timeToLive.minus(SAFETY_MARGIN)) < 0;
    }

    private void renew() throws StoreException {
        WallClock.Reading requestedAt = clock.reading();
        store.renewLease(lease.get());
        health.answered();
        // A successful renewal shows that the lease never expired, so its key remained and no other VM has held the
        // duties.
        term = Optional.of(new Term(term.get().revision(), requestedAt));
    }

    private void acquire() throws StoreException {
        WallClock.Reading requestedAt = clock.reading();
        if (lease.isEmpty() || clock.maximumElapsedSince(leaseRequestedAt).compareTo(timeToLive) >= 0) {
            lease = Optional.of(store.grantLease(timeToLive));
            leaseRequestedAt = requestedAt;
        }
        attempts++;
        byte[] value = WireFormat.encode(
                new HolderRecord(vm, incarnation, attempts, lease.get().value()));
        try {
            StoreRevision revision = store.apply(StoreTransaction.create(GatewayStoreKeys.DUTY_HOLDER, value, lease));
            health.answered();
            startTerm(revision, requestedAt);
        } catch (RevisionConflictException taken) {
            health.answered();
        } catch (OutcomeUnknownException unknown) {
            // The watch of the key shows whether the write took effect.
            health.failed("take duties", unknown);
        }
    }

    private void elect(StoreItem entry) throws StoreException {
        Optional<HolderRecord> holder = decode(entry);
        if (holder.isEmpty() || !holder.get().isOf(vm, incarnation)) {
            return;
        }
        if (lease.isPresent() && holder.get().lease() == lease.get().value()) {
            startTerm(entry.created(), clock.reading());
        } else {
            // The term under that lease has ended, so the entry is old or will be removed; the store decides which.
            acquire();
        }
    }

    private static Optional<HolderRecord> decode(StoreItem entry) {
        try {
            return Optional.of(WireFormat.decode(entry.value(), HolderRecord.class));
        } catch (IOException unreadable) {
            LOG.error("duty_holder_unreadable", unreadable, EventField.of("key", entry.key()));
            return Optional.empty();
        }
    }

    private void startTerm(StoreRevision revision, WallClock.Reading since) throws StoreException {
        store.renewLease(lease.get());
        term = Optional.of(new Term(revision, since));
        LOG.info("duties_taken", EventField.of("vm", vm), EventField.of("fencing", revision));
    }

    private void endTerm(String reason) {
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
     * The value of the key in the store.
     *
     * @param lifetime the incarnation of the process
     * @param attempt distinguishes the writes of one process
     * @param lease the lease that holds the key
     */
    record HolderRecord(VmId vm, String lifetime, int attempt, long lease) {

        private boolean isOf(VmId otherVm, String otherLifetime) {
            return vm.equals(otherVm) && lifetime.equals(otherLifetime);
        }
    }
}
