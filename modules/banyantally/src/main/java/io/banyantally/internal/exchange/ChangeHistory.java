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

/** The recent changes under one prefix of the store, in the batches in which this VM has read them. */
final class ChangeHistory {

    /** Older batches are dropped; a VM that is so far behind reads the store itself. */
    private static final int MAXIMUM_BATCHES = 64;

    private final MonotonicClock clock;
    private final Deque<StoreChanges> batches = new ArrayDeque<>();
    private boolean started;

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
        notifyAll();
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
        notifyAll();
    }

    /** Makes the history unconfirmed until the store responds again. */
    synchronized void withdrawConfirmation() {
        confirmedAt = Optional.empty();
        notifyAll();
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

    /** Waits until something is added, at most for {@code limit}. */
    synchronized void awaitAddition(Duration limit) throws InterruptedException {
        wait(Math.max(1, limit.toMillis()));
    }
}
