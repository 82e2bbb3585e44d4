package io.banyantally.internal.deployment;

import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.EventField;
import java.time.Duration;

/** Whether the platform's store answers this process, as seen by all that use it. */
public final class StoreHealth {

    private static final EventLog LOG = EventLog.of(StoreHealth.class);

    private final MonotonicClock clock;
    private boolean reachable = true;
    private boolean wasEverUnreachable;
    private long changedAt;

    /** Creates the view of a store that is taken to answer. */
    public StoreHealth(MonotonicClock clock) {
        this.clock = clock;
        this.changedAt = clock.nanoTime();
    }

    /** Notes a call that the store answered. */
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

    /** Notes a call that the store did not answer. */
    public synchronized void failed(String what, Exception failure) {
        if (reachable) {
            LOG.warn(
                    "dependency_lost",
                    EventField.of("dependency", "store"),
                    EventField.of("call", what),
                    EventField.of("reason", failure.getMessage()));
            reachable = false;
            wasEverUnreachable = true;
            changedAt = clock.nanoTime();
        }
    }

    /** Returns whether the last call was answered. */
    public synchronized boolean isReachable() {
        return reachable;
    }

    /** Returns whether the store is unreachable, or was until less than {@code recent} ago. */
    public synchronized boolean wasUnreachableWithin(Duration recent) {
        return !reachable || (wasEverUnreachable && clock.since(changedAt).compareTo(recent) < 0);
    }
}
