package io.banyantally.internal.time;

import java.time.Duration;

/** Lets a task wait. Tests replace it so that simulated time passes instead. */
@FunctionalInterface
public interface Sleeper {

    /** Sleeps in real time. */
    Sleeper SYSTEM = Thread::sleep;

    /** Waits for a duration; zero and negative durations return at once. */
    void sleep(Duration duration) throws InterruptedException;
}
