package io.banyantally.internal.duty;

import io.banyantally.internal.adapter.WireFormat;
import io.banyantally.internal.deployment.EraCheckedStore;
import io.banyantally.internal.deployment.GatewayStoreKeys;
import io.banyantally.internal.deployment.MemberList;
import io.banyantally.internal.deployment.StoreHealth;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.time.WallClock;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.model.FencingNumber;
import io.banyantally.model.VmId;
import io.banyantally.platform.CoordinationStore.StoreItem;
import io.banyantally.platform.DutyHolder;
import io.banyantally.platform.LeaseId;
import io.banyantally.platform.LeaseLapsedException;
import io.banyantally.platform.OutcomeUnknownException;
import io.banyantally.platform.RevisionConflictException;
import io.banyantally.platform.StoreEra;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.StoreTransaction;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Elects the VM that carries out the duties, by a key in the store that the lease of the elected VM holds. The era of
 * the store and the revision of the key give the fencing number, which rises with every holder. After its election a VM
 * waits until the former holder must have stopped, however the store has ended the lease (see {@link DutyTimes}).
 *
 * <p>A term belongs to one era of the store. When the store has come back from an older copy, leases and entries of
 * before count no more. The wait covers a holder that does not hear of the new era, since nobody is elected in an era
 * before the store's return.
 */
public final class DutyLease {

    /** How often to call {@link #refresh}. It calls the store for a renewal, or if there is no holder. */
    public static final Duration INTERVAL = Duration.ofMillis(250);

    /** Time between two renewals of the holder. */
    static final Duration RENEWAL_INTERVAL = Duration.ofMillis(500);

    /** Time without a call to the store after one that failed or came too late. */
    static final Duration RETRY_DELAY = Duration.ofMillis(500);

    private static final EventLog LOG = EventLog.of(DutyLease.class);

    private final EraCheckedStore store;
    private final MemberList members;
    private final StoreHealth health;
    private final WallClock clock;
    private final VmId vm;
    private final String incarnation;
    private final DutyTimes times;
    private long nextCallAt;
    private int attempts;
    private Optional<LeaseId> lease = Optional.empty();
    private WallClock.Reading leaseRequestedAt;
    private Optional<FencingNumber> loggedAsActing = Optional.empty();

    // Read without the lock, which a call to a slow store holds.
    private volatile boolean stopped;
    private volatile Optional<Term> term = Optional.empty();

    /**
     * Creates a lease that is not held.
     *
     * @param incarnation identifies this process among all that ever run on the VM
     */
    public DutyLease(
            EraCheckedStore store,
            MemberList members,
            StoreHealth health,
            WallClock clock,
            VmId vm,
            String incarnation,
            DutyTimes times) {
        this.store = store;
        this.members = members;
        this.health = health;
        this.clock = clock;
        this.vm = vm;
        this.incarnation = incarnation;
        this.times = times;
        this.leaseRequestedAt = clock.reading();
        this.nextCallAt = leaseRequestedAt.monotonicNanos();
    }

    /** Renews the lease if this VM holds it, and otherwise tries to acquire it. */
    public synchronized void refresh() {
        if (stopped) {
            return;
        }
        Optional<StoreItem> entry = members.dutyHolder();
        dropOutdatedLease(entry);
        term = term.map(current -> current.withEntry(entry));
        logBeginOfActing();
        if (monotonicNanos() - nextCallAt < 0) {
            return;
        }
        try {
            if (term.isPresent()) {
                renew(term.get());
            } else if (entry.isEmpty()) {
                acquire(StoreRevision.ABSENT);
            } else {
                elect(entry.get());
            }
        } catch (LeaseLapsedException lapsed) {
            health.answered();
            endTerm(isLeaseOfCurrentEra() ? "lapsed" : "store_era");
        } catch (StoreException failure) {
            health.failed("duty lease", failure);
            nextCallAt = monotonicNanos() + RETRY_DELAY.toNanos();
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
        return validTerm().map(Term::number).map(this::holder);
    }

    private DutyHolder holder(FencingNumber number) {
        return new DutyHolder(
                vm,
                number,
                () -> validTerm()
                        .filter(current -> current.number().equals(number))
                        .isPresent());
    }

    private Optional<Term> validTerm() {
        return stopped ? Optional.empty() : term.filter(this::isValid);
    }

    private boolean isValid(Term current) {
        return isCurrent(current.revision().era())
                && monotonicNanos() - current.actsFromNanos() >= 0
                && isEntryPresent(current)
                && clock.maximumElapsedSince(current.renewedAt()).compareTo(times.permission()) < 0;
    }

    /** Returns whether the watch shows no end of a term: neither a later entry, nor none after it has shown the term's. */
    private boolean isEntryPresent(Term current) {
        return members.dutyHolder().map(entry -> !replaces(entry, current)).orElse(!current.listed());
    }

    private boolean isCurrent(StoreEra era) {
        return store.era().filter(era::equals).isPresent();
    }

    private boolean isLeaseOfCurrentEra() {
        return lease.isEmpty() || isCurrent(lease.get().era());
    }

    private void dropOutdatedLease(Optional<StoreItem> entry) {
        if (!isLeaseOfCurrentEra()) {
            endTerm("store_era");
        } else if (term.isPresent()
                && entry.filter(item -> replaces(item, term.get())).isPresent()) {
            endTerm("replaced");
        }
    }

    private static boolean replaces(StoreItem entry, Term current) {
        return entry.versioned().revision().isAfter(current.revision())
                && decode(entry)
                        .filter(holder -> holder.isUnder(current.lease()))
                        .isEmpty();
    }

    private void renew(Term current) throws StoreException {
        if (isEntryPresent(current)
                && monotonicNanos() - current.renewedAt().monotonicNanos() < RENEWAL_INTERVAL.toNanos()) {
            return;
        }
        // A successful renewal shows that the lease never expired, so its key remained and no other VM has held the
        // duties.
        term = Optional.of(current.withRenewal(renewLease()));
    }

    /** Renews the lease and returns when that was requested. Often only one response is lost, so it is repeated once. */
    private WallClock.Reading renewLease() throws StoreException {
        try {
            return requestRenewal();
        } catch (LeaseLapsedException lapsed) {
            throw lapsed;
        } catch (StoreException failure) {
            LOG.info("renewal_repeated", EventField.of("vm", vm), EventField.of("reason", failure.getMessage()));
            return requestRenewal();
        }
    }

    private WallClock.Reading requestRenewal() throws StoreException {
        WallClock.Reading requestedAt = clock.reading();
        StoreEra renewedIn = store.renewLease(lease.get());
        health.answered();
        if (!renewedIn.equals(lease.get().era())) {
            throw new LeaseLapsedException("the store renewed lease " + lease.get() + " in era " + renewedIn);
        }
        return requestedAt;
    }

    private void elect(StoreItem entry) throws StoreException {
        StoreRevision revision = entry.versioned().revision();
        Optional<HolderRecord> holder = decode(entry);
        if (holder.isEmpty() || !isCurrent(revision.era())) {
            // After a change of the era the watch lists the key again.
            return;
        }
        if (lease.isPresent() && holder.get().isUnder(lease.get())) {
            startTerm(revision);
        } else if (holder.get().isBefore(revision.era())) {
            acquire(revision);
        } else if (holder.get().isOf(vm, incarnation)) {
            // The term under that lease has ended, so the entry is old or will be removed; the store decides which.
            acquire(StoreRevision.ABSENT);
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

    private void acquire(StoreRevision expected) throws StoreException {
        WallClock.Reading requestedAt = clock.reading();
        if (lease.isEmpty() || clock.maximumElapsedSince(leaseRequestedAt).compareTo(times.timeToLive()) >= 0) {
            lease = Optional.of(store.grantLease(times.timeToLive()));
            leaseRequestedAt = requestedAt;
        }
        attempts++;
        byte[] value = WireFormat.encode(HolderRecord.of(vm, incarnation, attempts, lease.get()));
        try {
            StoreRevision revision =
                    store.apply(StoreTransaction.replace(GatewayStoreKeys.DUTY_HOLDER, expected, value, lease));
            health.answered();
            startTerm(revision);
        } catch (RevisionConflictException taken) {
            health.answered();
            nextCallAt = monotonicNanos() + RETRY_DELAY.toNanos();
        } catch (OutcomeUnknownException unknown) {
            // The watch of the key shows whether the write took effect.
            health.failed("take duties", unknown);
            nextCallAt = monotonicNanos() + RETRY_DELAY.toNanos();
        }
    }

    private void startTerm(StoreRevision revision) throws StoreException {
        Optional<FencingNumber> number = TermNumbers.of(revision);
        if (number.isEmpty()) {
            LOG.warn("fencing_number_too_large", EventField.of("vm", vm), EventField.of("revision", revision));
            return;
        }
        // A former holder has not renewed after the key was written, which was before now.
        long actsFromNanos = monotonicNanos() + times.takeoverWait().toNanos();
        WallClock.Reading requestedAt = renewLease();
        if (!revision.era().equals(lease.get().era())) {
            throw new LeaseLapsedException("revision " + revision + " is not of the era of lease " + lease.get());
        }
        term = Optional.of(new Term(number.get(), revision, lease.get(), actsFromNanos, requestedAt, false));
        LOG.info(
                "duties_taken",
                EventField.of("vm", vm),
                EventField.of("fencing", number.get()),
                EventField.of("revision", revision),
                EventField.of("acts_in_ms", millisUntil(actsFromNanos)),
                EventField.of("era_known_ms", store.eraKnownFor().toMillis()));
    }

    private long millisUntil(long monotonicNanos) {
        return TimeUnit.NANOSECONDS.toMillis(monotonicNanos - monotonicNanos());
    }

    private void logBeginOfActing() {
        if (term.isPresent()
                && loggedAsActing.filter(term.get().number()::equals).isEmpty()
                && isValid(term.get())) {
            loggedAsActing = Optional.of(term.get().number());
            LOG.info(
                    "duties_begun",
                    EventField.of("vm", vm),
                    EventField.of("fencing", term.get().number()),
                    EventField.of("late_ms", -millisUntil(term.get().actsFromNanos())));
        }
    }

    private long monotonicNanos() {
        return clock.reading().monotonicNanos();
    }

    private void endTerm(String reason) {
        if (term.isPresent()) {
            LOG.warn(
                    "duties_lost",
                    EventField.of("vm", vm),
                    EventField.of("fencing", term.get().number()),
                    EventField.of("reason", reason),
                    EventField.of(
                            "renewed_ms",
                            clock.maximumElapsedSince(term.get().renewedAt()).toMillis()),
                    EventField.of(
                            "acts_in_ms", Math.max(0, millisUntil(term.get().actsFromNanos()))));
        }
        term = Optional.empty();
        lease = Optional.empty();
    }

    /**
     * A time as holder.
     *
     * @param revision the revision of the entry
     * @param actsFromNanos the monotonic time from which the term may act, in nanoseconds
     * @param renewedAt before the last renewal was sent
     * @param listed whether the watch has shown the entry of the term, so that its absence means its end
     */
    private record Term(
            FencingNumber number,
            StoreRevision revision,
            LeaseId lease,
            long actsFromNanos,
            WallClock.Reading renewedAt,
            boolean listed) {

        Term withRenewal(WallClock.Reading newRenewedAt) {
            return new Term(number, revision, lease, actsFromNanos, newRenewedAt, listed);
        }

        Term withEntry(Optional<StoreItem> entry) {
            boolean nowListed = listed
                    || entry.filter(item -> item.versioned().revision().equals(revision))
                            .isPresent();
            return new Term(number, revision, lease, actsFromNanos, renewedAt, nowListed);
        }
    }
}
