package io.banyantally.internal.authority;

import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.time.Sleeper;
import io.banyantally.model.FencingNumber;
import io.banyantally.platform.KeyValueStore;
import io.banyantally.platform.RevisionConflictException;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.VersionedValue;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

/** One ownership of a scope, from the creation of its lease key to its loss or release. Not reused afterwards. */
final class HeldScope implements OwnedScope {

    private final Scope scope;
    private final KeyValueStore store;
    private final MonotonicClock clock;
    private final Sleeper sleeper;
    private final AuthoritySettings settings;
    private final ProcessIdentity self;
    private final AtomicLong attemptCounter;
    private final ScopeLease lease;
    private final long leaseHeldSinceNanos;
    private final RecordWriter writer;
    private volatile boolean acquired;
    private volatile boolean withdrawn;
    private volatile String lossReason = "";
    private volatile boolean outcomesKnown = true;
    private volatile ScopeRecord record;
    private StoreRevision revision = StoreRevision.ABSENT;

    /** Creates an ownership that has the lease but not yet the record. The takeover wait starts now. */
    HeldScope(
            Scope scope,
            KeyValueStore store,
            MonotonicClock clock,
            Sleeper sleeper,
            AuthoritySettings settings,
            ProcessIdentity self,
            AtomicLong attemptCounter,
            ScopeLease lease) {
        this.scope = scope;
        this.store = store;
        this.clock = clock;
        this.sleeper = sleeper;
        this.settings = settings;
        this.self = self;
        this.attemptCounter = attemptCounter;
        this.lease = lease;
        this.leaseHeldSinceNanos = clock.nanoTime();
        this.writer = new RecordWriter(store, StoreKeys.record(scope), sleeper, settings.retryDelay());
        this.record = new ScopeRecord(FencingNumber.NONE, self.vm(), self.incarnation(), 0, 0, false, new byte[0]);
    }

    /**
     * Takes the record over under the next fencing number, after the takeover wait if the previous owner may still be
     * acting. After a conflicting write, reads the record again and retries.
     */
    void takeOver() throws AuthorityLostException, InterruptedException {
        while (!acquired) {
            requireUsable(this::isUsable);
            try {
                tryTakeOver();
            } catch (RevisionConflictException changed) {
                // The record was written after it was read, for example by the previous owner; read it again.
            } catch (StoreException unavailable) {
                sleeper.sleep(settings.retryDelay());
            }
        }
    }

    private void tryTakeOver() throws StoreException, AuthorityLostException, InterruptedException {
        Optional<VersionedValue> stored = store.get(StoreKeys.record(scope));
        ScopeRecord next;
        if (stored.isEmpty()) {
            next = new ScopeRecord(
                    FencingNumber.NONE.next(),
                    self.vm(),
                    self.incarnation(),
                    attemptCounter.incrementAndGet(),
                    0,
                    false,
                    new byte[0]);
        } else {
            ScopeRecord previous = ScopeRecord.decode(stored.get().value());
            Duration remaining = settings.takeoverWait().minus(clock.since(leaseHeldSinceNanos));
            if (!previous.handedOver() && remaining.isPositive()) {
                sleeper.sleep(remaining);
                return;
            }
            next = new ScopeRecord(
                    previous.fencingNumber().next(),
                    self.vm(),
                    self.incarnation(),
                    attemptCounter.incrementAndGet(),
                    previous.sequence(),
                    false,
                    previous.payload());
        }
        StoreRevision expected = stored.map(VersionedValue::revision).orElse(StoreRevision.ABSENT);
        revision = writer.write(next, expected, this::isUsable);
        record = next;
        acquired = true;
    }

    @Override
    public Scope scope() {
        return scope;
    }

    @Override
    public FencingNumber fencingNumber() {
        return record.fencingNumber();
    }

    @Override
    public boolean isGranted() {
        return acquired && !withdrawn && isUsable();
    }

    /** Returns whether the lease is valid and no loss of ownership was detected; stays true during a release. */
    boolean isUsable() {
        return lossReason.isEmpty() && lease.isValid();
    }

    boolean isAcquired() {
        return acquired;
    }

    @Override
    public long sequence() {
        return record.sequence();
    }

    @Override
    public byte[] payload() {
        return record.payload();
    }

    @Override
    public void write(long sequence, byte[] payload) throws AuthorityLostException, InterruptedException {
        if (sequence < record.sequence()) {
            throw new IllegalArgumentException("sequence " + sequence + " is lower than " + record.sequence()
                    + " in the record of " + scope + "; sequence numbers must not decrease");
        }
        writeRecord(record.next(attemptCounter.incrementAndGet(), sequence, payload), this::isGranted);
    }

    private synchronized void writeRecord(ScopeRecord next, BooleanSupplier mayContinue)
            throws AuthorityLostException, InterruptedException {
        requireUsable(mayContinue);
        try {
            revision = writer.write(next, revision, mayContinue);
            record = next;
        } catch (RevisionConflictException conflict) {
            abandon("another owner wrote the record");
            throw new AuthorityLostException("another owner wrote the record of " + scope, conflict);
        } catch (AuthorityLostException lost) {
            // No write may follow one with an unknown outcome, because the current revision is not known.
            abandon("the outcome of a write is unknown");
            throw lost;
        }
    }

    @Override
    public void setOutcomesKnown(boolean known) {
        outcomesKnown = known;
    }

    boolean outcomesKnown() {
        return outcomesKnown;
    }

    @Override
    public void abandon(String reason) {
        if (lossReason.isEmpty()) {
            lossReason = reason;
        }
    }

    /** Returns why the authority ended, for the timeline. */
    String lossReason() {
        return lossReason.isEmpty() ? "the lease ended" : lossReason;
    }

    /** Ends the right to start new actions but keeps the lease, so that the scope can be released. */
    void withdraw() {
        withdrawn = true;
    }

    /** Marks the record as handed over. Must be called only after the task has ended with no action in progress. */
    void markHandedOver() throws AuthorityLostException, InterruptedException {
        if (acquired && !record.handedOver()) {
            writeRecord(record.markHandedOver(attemptCounter.incrementAndGet()), this::isUsable);
        }
    }

    private void requireUsable(BooleanSupplier usable) throws AuthorityLostException {
        if (!usable.getAsBoolean()) {
            throw new AuthorityLostException("scope " + scope + " is no longer owned: " + lossReason());
        }
    }
}
