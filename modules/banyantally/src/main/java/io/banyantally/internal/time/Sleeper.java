package io.banyantally.internal.time;

import java.time.Duration;

/** Suspends the calling thread. Tests replace it to advance simulated time instead. */
@FunctionalInterface
public interface Sleeper {

    /** Sleeps in real time. */
    Sleeper SYSTEM = Thread::sleep;

    /** Waits for a duration; zero and negative durations return at once. */
    void sleep(Duration duration) throws InterruptedException;
}
