package io.banyantally.internal.authority;

import io.banyantally.internal.time.MonotonicClock;
import java.time.Duration;
import java.util.Optional;

/** Finds gaps between the ticks of a periodic task: the process, or its VM, was not running meanwhile. */
public final class PauseDetector {

    private final MonotonicClock clock;
    private final Duration threshold;
    private long lastTick;

    /** Creates a detector that reports gaps of {@code threshold} or more. */
    public PauseDetector(MonotonicClock clock, Duration threshold) {
        this.clock = clock;
        this.threshold = threshold;
        this.lastTick = clock.nanoTime();
    }

    /** Starts anew after a call that may take long, whose duration is no pause. */
    public void reset() {
        lastTick = clock.nanoTime();
    }

    /** Called at each tick; returns the gap since the last one if it shows a pause. */
    public Optional<Duration> tick() {
        long now = clock.nanoTime();
        Duration gap = Duration.ofNanos(now - lastTick);
        lastTick = now;
        return gap.compareTo(threshold) >= 0 ? Optional.of(gap) : Optional.empty();
    }
}
