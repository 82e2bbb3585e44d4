package io.banyantally.internal.deployment;

import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.EventField;
import java.time.Duration;

/** Tracks whether the platform's store responds to this process, from the results of all its calls. */
public final class StoreHealth {

    private static final EventLog LOG = EventLog.of(StoreHealth.class);

    private final MonotonicClock clock;
    private boolean reachable = true;
    private boolean wasEverUnreachable;
    private long changedAt;

    /** Creates the tracker of a store that is assumed to be reachable. */
    public StoreHealth(MonotonicClock clock) {
        this.clock = clock;
        this.changedAt = clock.nanoTime();
    }

    /** Records a call to which the store responded. */
    public synchronized void answered() {
        if (!reachable) {
            LOG.info(
                    "dependency_regained",
                    EventField.of("dependency", "store"),
                    EventField.of("lost_ms", clock.since(changedAt).toMillis()));
            reachable = true;
            changedAt = clock.nanoTime();
        }
    }

    /** Records a call to which the store did not respond. */
    public synchronized void failed(String call, Exception failure) {
        if (reachable) {
            LOG.warn(
                    "dependency_lost",
                    EventField.of("dependency", "store"),
                    EventField.of("call", call),
                    EventField.of("reason", failure.getMessage()));
            reachable = false;
            wasEverUnreachable = true;
            changedAt = clock.nanoTime();
        }
    }

    /** Returns whether the store responded to the last call. */
    public synchronized boolean isReachable() {
        return reachable;
    }

    /** Returns whether the store is unreachable, or was until less than {@code duration} ago. */
    public synchronized boolean wasUnreachableWithin(Duration duration) {
        return !reachable || (wasEverUnreachable && clock.since(changedAt).compareTo(duration) < 0);
    }
}
