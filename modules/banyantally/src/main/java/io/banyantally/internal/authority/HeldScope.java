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

/** One ownership of a scope, from the creation of its lease key to its end. It is never granted again afterwards. */
final class HeldScope implements OwnedScope {

    private final Scope scope;
    private final KeyValueStore store;
    private final MonotonicClock clock;
    private final Sleeper sleeper;
    private final AuthoritySettings settings;
    private final ProcessIdentity self;
    private final AtomicLong attempts;
    private final ScopeLease lease;
    private final long heldSince;
    private final RecordWriter writer;
    private volatile boolean acquired;
    private volatile boolean withdrawn;
    private volatile String lossReason = "";
    private volatile boolean outcomesKnown = true;
    private volatile ScopeRecord record;
    private StoreRevision revision = StoreRevision.ABSENT;

    /** Creates an ownership that has its lease but not yet the record; the takeover wait starts now. */
    HeldScope(
            Scope scope,
            KeyValueStore store,
            MonotonicClock clock,
            Sleeper sleeper,
            AuthoritySettings settings,
            ProcessIdentity self,
            AtomicLong attempts,
            ScopeLease lease) {
        this.scope = scope;
        this.store = store;
        this.clock = clock;
        this.sleeper = sleeper;
        this.settings = settings;
        this.self = self;
        this.attempts = attempts;
        this.lease = lease;
        this.heldSince = clock.nanoTime();
        this.writer = new RecordWriter(store, StoreKeys.record(scope), sleeper, settings.retryDelay());
        this.record = new ScopeRecord(FencingNumber.NONE, self.vm(), self.incarnation(), 0, 0, false, new byte[0]);
    }

    /**
     * Waits for the takeover wait if the previous owner may still be acting, and takes the record over under the next
     * fencing number. A write that came first is read and judged anew.
     */
    void takeOver() throws AuthorityLostException, InterruptedException {
        while (!acquired) {
            requireUsable(this::isUsable);
            try {
                tryTakeOver();
            } catch (RevisionConflictException changed) {
                // The previous owner's last write arrived; it is read again.
            } catch (StoreException unavailable) {
                sleeper.sleep(settings.retryDelay());
            }
        }
    }

    private void tryTakeOver() throws StoreException, AuthorityLostException, InterruptedException {
        Optional<VersionedValue> present = store.get(StoreKeys.record(scope));
        ScopeRecord next;
        if (present.isEmpty()) {
            next = new ScopeRecord(
                    FencingNumber.NONE.next(),
                    self.vm(),
                    self.incarnation(),
                    attempts.incrementAndGet(),
                    0,
                    false,
                    new byte[0]);
        } else {
            ScopeRecord previous = ScopeRecord.decode(present.get().value());
            Duration remaining = settings.takeoverWait().minus(clock.since(heldSince));
            if (!previous.handedOver() && remaining.isPositive()) {
                sleeper.sleep(remaining);
                return;
            }
            next = new ScopeRecord(
                    previous.fencingNumber().next(),
                    self.vm(),
                    self.incarnation(),
                    attempts.incrementAndGet(),
                    previous.sequence(),
                    false,
                    previous.payload());
        }
        StoreRevision expected = present.map(VersionedValue::revision).orElse(StoreRevision.ABSENT);
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

    /** Returns whether the lease still runs and nothing showed a later owner; true during a release too. */
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
                    + " in the record of " + scope + "; sequences never fall");
        }
        writeRecord(record.next(attempts.incrementAndGet(), sequence, payload), this::isGranted);
    }

    private synchronized void writeRecord(ScopeRecord next, BooleanSupplier mayGoOn)
            throws AuthorityLostException, InterruptedException {
        requireUsable(mayGoOn);
        try {
            revision = writer.write(next, revision, mayGoOn);
            record = next;
        } catch (RevisionConflictException conflict) {
            abandon("another owner wrote the record");
            throw new AuthorityLostException("another owner wrote the record of " + scope, conflict);
        } catch (AuthorityLostException lost) {
            // A write with an unknown outcome must be the last one: its revision is not known.
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

    /** Ends the right to start actions and keeps the lease, for a release. */
    void withdraw() {
        withdrawn = true;
    }

    /** Marks the record as handed over. Called only when no action is open and the task has ended. */
    void markHandedOver() throws AuthorityLostException, InterruptedException {
        if (acquired && !record.handedOver()) {
            writeRecord(record.markHandedOver(attempts.incrementAndGet()), this::isUsable);
        }
    }

    private void requireUsable(BooleanSupplier usable) throws AuthorityLostException {
        if (!usable.getAsBoolean()) {
            throw new AuthorityLostException("scope " + scope + " is no longer owned: " + lossReason());
        }
    }
}
