package io.banyantally.internal.deployment;

import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.EventField;
import java.time.Duration;
import java.util.OptionalLong;

/** Tracks whether the platform's store responds to this process, from the results of all its calls. */
public final class StoreHealth {

    /**
     * The shortest silence of the store in which an entry may expire. Entries expire after three missed intervals of more
     * than a second.
     */
    static final Duration MINIMUM_OUTAGE = Duration.ofMillis(1800);

    private static final EventLog LOG = EventLog.of(StoreHealth.class);

    private final MonotonicClock clock;
    private boolean reachable = true;
    private long changedAt;
    private long answeredAt;
    private OptionalLong outageEndedAt = OptionalLong.empty();

    /** Creates the tracker of a store that is assumed to be reachable. */
    public StoreHealth(MonotonicClock clock) {
        this.clock = clock;
        this.changedAt = clock.nanoTime();
        this.answeredAt = changedAt;
    }

    /** Records a call to which the store responded. */
    public synchronized void answered() {
        if (!reachable) {
            if (clock.since(answeredAt).compareTo(MINIMUM_OUTAGE) >= 0) {
                outageEndedAt = OptionalLong.of(clock.nanoTime());
            }
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

    /**
     * Returns when the store responded again after the last outage, in monotonic nanoseconds. A gap that is shorter than
     * {@link #MINIMUM_OUTAGE}, such as that of a call whose connection was cut, is no outage.
     */
    public synchronized OptionalLong lastOutageEnd() {
        return outageEndedAt;
    }
}
