package io.banyantally.internal.deployment;

import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.EventField;
import java.time.Duration;
import java.util.OptionalLong;

/** Tracks whether the platform's store responds to this process, from the results of all its calls. */
public final class StoreHealth {

    private static final EventLog LOG = EventLog.of(StoreHealth.class);

    private final MonotonicClock clock;
    private boolean reachable = true;
    private long changedAt;
    private long answeredAt;
    private OptionalLong failedAt = OptionalLong.empty();
    private Duration lastSilence = Duration.ZERO;

    /** Creates the tracker of a store that is assumed to be reachable. */
    public StoreHealth(MonotonicClock clock) {
        this.clock = clock;
        this.changedAt = clock.nanoTime();
        this.answeredAt = changedAt;
    }

    /** Records a call to which the store responded. */
    public synchronized void answered() {
        if (!reachable) {
            lastSilence = clock.since(answeredAt);
            LOG.info(
                    "dependency_regained",
                    EventField.of("dependency", "store"),
                    EventField.of("lost_ms", clock.since(changedAt).toMillis()));
            reachable = true;
            changedAt = clock.nanoTime();
        }
        answeredAt = clock.nanoTime();
    }

    /** Records a call to which the store did not respond. */
    public synchronized void failed(String call, Exception failure) {
        failedAt = OptionalLong.of(clock.nanoTime());
        if (reachable) {
            LOG.warn(
                    "dependency_lost",
                    EventField.of("dependency", "store"),
                    EventField.of("call", call),
                    EventField.of("reason", failure.getMessage()));
            reachable = false;
            changedAt = clock.nanoTime();
        }
    }

    /** Returns whether the store responded to the last call. */
    public synchronized boolean isReachable() {
        return reachable;
    }

    /** Returns whether a call has failed since a time, in monotonic nanoseconds. */
    public synchronized boolean hasFailedSince(long time) {
        return failedAt.isPresent() && failedAt.getAsLong() - time >= 0;
    }

    /**
     * Returns when the store responded again after it was last unreachable, in monotonic nanoseconds; empty if it had
     * then been silent for less than {@code minimumSilence}.
     */
    public synchronized OptionalLong regainedAfter(Duration minimumSilence) {
        return reachable && lastSilence.compareTo(minimumSilence) >= 0
                ? OptionalLong.of(changedAt)
                : OptionalLong.empty();
    }
}
