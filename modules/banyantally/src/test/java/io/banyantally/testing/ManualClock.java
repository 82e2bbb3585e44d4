package io.banyantally.testing;

import io.banyantally.internal.time.MonotonicClock;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

/** A clock that stands still until the test moves it. */
public final class ManualClock implements MonotonicClock {

    private final AtomicLong now = new AtomicLong(1);

    @Override
    public long nanoTime() {
        return now.get();
    }

    /** Moves the clock forward. */
    public void advance(Duration duration) {
        now.addAndGet(duration.toNanos());
    }
}
