package io.banyantally.internal.time;

import java.time.Duration;

/**
 * The clock for every duration, time limit and lease. Tests replace it with a manual clock. Readings of two processes are
 * never compared.
 */
@FunctionalInterface
public interface MonotonicClock {

    /** The clock of this process. It goes on while the process is paused, so a pause shows as a gap between readings. */
    MonotonicClock SYSTEM = System::nanoTime;

    /** Returns nanoseconds since an arbitrary origin. */
    long nanoTime();

    /** Returns the time that has passed since an earlier reading of this clock. */
    default Duration since(long earlierNanoTime) {
        return Duration.ofNanos(nanoTime() - earlierNanoTime);
    }
}
