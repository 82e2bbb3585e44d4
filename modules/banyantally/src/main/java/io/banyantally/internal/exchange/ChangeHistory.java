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
import java.util.concurrent.TimeUnit;

/** The recent changes under one prefix of the store, in the batches in which this VM has read them. */
final class ChangeHistory {

    /** Older batches are dropped; a VM that is so far behind reads the store itself. */
    private static final int MAXIMUM_BATCHES = 64;

    private final MonotonicClock clock;
    private final Deque<StoreChanges> batches = new ArrayDeque<>();
    private boolean started;
    private long version;

    /** The history is complete from this revision on. */
    private StoreRevision start = StoreRevision.ABSENT;

    private Optional<Long> confirmedAt = Optional.empty();

    ChangeHistory(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Begins again after a listing. */
    synchronized void restart(StoreRevision revision) {
        batches.clear();
        start = revision;
        started = true;
        confirmedAt = Optional.of(clock.nanoTime());
        changed();
    }

    /**
     * Adds changes.
     *
     * @param fromStore whether the store itself returned them, which shows that there were no others
     */
    synchronized void add(StoreChanges changes, boolean fromStore) {
        if (!changes.changes().isEmpty()) {
            batches.addLast(changes);
            if (batches.size() > MAXIMUM_BATCHES) {
                start = batches.removeFirst().revision();
            }
        }
        if (fromStore) {
            confirmedAt = Optional.of(clock.nanoTime());
        }
        changed();
    }

    /** Makes the history unconfirmed until the store responds again. */
    synchronized void withdrawConfirmation() {
        confirmedAt = Optional.empty();
        changed();
    }

    /** Returns whether the store has returned changes, or that there are none, less than {@code limit} ago. */
    synchronized boolean isConfirmedWithin(Duration limit) {
        return confirmedAt.isPresent() && clock.since(confirmedAt.get()).compareTo(limit) < 0;
    }

    /** Returns all changes after a revision; empty if the history does not reach back to it. */
    synchronized Optional<StoreChanges> after(StoreRevision revision) {
        if (!started || revision.value() < start.value()) {
            return Optional.empty();
        }
        List<StoreChange> changes = new ArrayList<>();
        StoreRevision last = revision;
        for (StoreChanges batch : batches) {
            if (batch.revision().value() > revision.value()) {
                // A batch is repeated whole; applying its changes again ends in the same state.
                changes.addAll(batch.changes());
                last = batch.revision();
            }
        }
        return Optional.of(new StoreChanges(changes, last));
    }

    /** Returns a number that changes with the history and its confirmation. */
    synchronized long version() {
        return version;
    }

    /** Waits until the version is not {@code seen}, at most for {@code limit}. */
    synchronized void awaitChange(long seen, Duration limit) throws InterruptedException {
        long deadline = System.nanoTime() + limit.toNanos();
        while (version == seen) {
            long millis = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
            if (millis <= 0) {
                return;
            }
            wait(millis);
        }
    }

    private void changed() {
        version++;
        notifyAll();
    }
}
