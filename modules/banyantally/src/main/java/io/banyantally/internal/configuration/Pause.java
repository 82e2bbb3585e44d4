package io.banyantally.internal.configuration;

import java.time.Duration;

/** Waits before a retry. Tests replace it with one that advances a manual clock. */
@FunctionalInterface
public interface Pause {

    /** Blocks the calling thread for the given time. */
    Pause SLEEP = Thread::sleep;

    /** Waits for the given time. */
    void await(Duration duration) throws InterruptedException;
}
