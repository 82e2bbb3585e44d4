package io.banyantally.internal.authority;

import io.banyantally.internal.time.MonotonicClock;
import java.time.Duration;
import java.util.Optional;

/** Detects pauses of the process or its VM from gaps between the ticks of a periodic task. */
public final class PauseDetector {

    private final MonotonicClock clock;
    private final Duration threshold;
    private long lastTickNanos;

    /** Creates a detector that reports gaps of {@code threshold} or more. */
    public PauseDetector(MonotonicClock clock, Duration threshold) {
        this.clock = clock;
        this.threshold = threshold;
        this.lastTickNanos = clock.nanoTime();
    }

    /** Restarts the measurement after a call that may block for long, whose duration must not count as a pause. */
    public void reset() {
        lastTickNanos = clock.nanoTime();
    }

    /** Records a tick; returns the gap since the last one if it reaches the threshold. */
    public Optional<Duration> tick() {
        long now = clock.nanoTime();
        Duration gap = Duration.ofNanos(now - lastTickNanos);
        lastTickNanos = now;
        return gap.compareTo(threshold) >= 0 ? Optional.of(gap) : Optional.empty();
    }
}
