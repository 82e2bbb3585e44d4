package io.banyantally.internal.exchange;

import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.platform.CoordinationStore.StoreChange;
import io.banyantally.platform.CoordinationStore.StoreChanges;
import io.banyantally.platform.StoreRevision;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.Lock;
import java.util.concurrent.locks.ReentrantLock;

/** The recent changes under one prefix of the store, in the batches in which this VM has read them. */
final class ChangeHistory {

    /** Older batches are dropped; a VM that is so far behind reads the store itself. */
    private static final int MAXIMUM_BATCHES = 64;

    /** Of all batches together. */
    static final int MAXIMUM_CHANGES = 2000;

    private final MonotonicClock clock;
    /** Not a monitor: waiting in one may keep a virtual thread on its carrier, and other threads from running. */
    private final Lock lock = new ReentrantLock();

    private final Condition changed = lock.newCondition();
    private final Deque<StoreChanges> batches = new ArrayDeque<>();
    private long keptBytes;
    private int keptChanges;
    private boolean started;
    private long version;

    /** The history is complete from this revision on. */
    private StoreRevision start = StoreRevision.ABSENT;

    private Optional<Long> confirmedAt = Optional.empty();

    ChangeHistory(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Begins again after a listing. */
    void restart(StoreRevision revision) {
        lock.lock();
        try {
            batches.clear();
            keptBytes = 0;
            keptChanges = 0;
            start = revision;
            started = true;
            confirmedAt = Optional.of(clock.nanoTime());
            recordChange();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Adds changes.
     *
     * @param fromStore whether the store itself returned them, which shows that there were no others
     */
    void add(StoreChanges changes, boolean fromStore) {
        lock.lock();
        try {
            if (!changes.changes().isEmpty()) {
                batches.addLast(changes);
                keptBytes += valueBytes(changes);
                keptChanges += changes.changes().size();
                dropOldest();
            }
            if (fromStore) {
                confirmedAt = Optional.of(clock.nanoTime());
            }
            recordChange();
        } finally {
            lock.unlock();
        }
    }

    /** Drops the batches that are not relayed to a VM that lacks them, as they are too many or too large together. */
    private void dropOldest() {
        while (batches.size() > MAXIMUM_BATCHES
                || keptChanges > MAXIMUM_CHANGES
                || keptBytes > RelayedStore.MAXIMUM_RELAYED_BYTES) {
            StoreChanges oldest = batches.removeFirst();
            keptBytes -= valueBytes(oldest);
            keptChanges -= oldest.changes().size();
            start = oldest.revision();
        }
    }

    private static long valueBytes(StoreChanges changes) {
        return changes.changes().stream()
                .mapToLong(change -> change instanceof StoreChange.Written written
                        ? written.item().versioned().size()
                        : 0)
                .sum();
    }

    /** Makes the history unconfirmed until the store responds again. */
    void withdrawConfirmation() {
        lock.lock();
        try {
            confirmedAt = Optional.empty();
            recordChange();
        } finally {
            lock.unlock();
        }
    }

    /** Returns whether the store has returned changes, or that there are none, less than {@code limit} ago. */
    boolean isConfirmedWithin(Duration limit) {
        lock.lock();
        try {
            return confirmedAt.isPresent() && clock.since(confirmedAt.get()).compareTo(limit) < 0;
        } finally {
            lock.unlock();
        }
    }

    /** Returns all changes after a revision; empty if it is of another era, or older than the history. */
    Optional<StoreChanges> after(StoreRevision revision) {
        lock.lock();
        try {
            if (!started || !revision.era().equals(start.era()) || start.isAfter(revision)) {
                return Optional.empty();
            }
            List<StoreChange> changes = new ArrayList<>();
            StoreRevision last = revision;
            for (StoreChanges batch : batches) {
                if (batch.revision().isAfter(revision)) {
                    // A batch is repeated whole; applying its changes again ends in the same state.
                    changes.addAll(batch.changes());
                    last = batch.revision();
                }
            }
            return Optional.of(new StoreChanges(changes, last));
        } finally {
            lock.unlock();
        }
    }

    /** Returns a number that changes with the history and its confirmation. */
    long version() {
        lock.lock();
        try {
            return version;
        } finally {
            lock.unlock();
        }
    }

    /** Waits until the version is not {@code seen}, at most for {@code limit}. */
    void awaitChange(long seen, Duration limit) throws InterruptedException {
        lock.lock();
        try {
            long deadline = System.nanoTime() + limit.toNanos();
            while (version == seen) {
                long left = deadline - System.nanoTime();
                if (left <= 0) {
                    return;
                }
                changed.awaitNanos(left);
            }
        } finally {
            lock.unlock();
        }
    }

    private void recordChange() {
        version++;
        changed.signalAll();
    }
}
