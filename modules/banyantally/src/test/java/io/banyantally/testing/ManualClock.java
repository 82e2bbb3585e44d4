package io.banyantally.testing;

import io.banyantally.internal.time.MonotonicClock;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

/** A clock that a test advances explicitly. */
public final class ManualClock implements MonotonicClock {

    private final AtomicLong now = new AtomicLong(1);

    @Override
    public long nanoTime() {
        return now.get();
    }

    /** Advances the clock by a duration. */
    public void advance(Duration duration) {
        now.addAndGet(duration.toNanos());
    }
}
