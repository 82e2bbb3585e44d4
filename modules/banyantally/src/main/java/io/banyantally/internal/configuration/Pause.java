package io.banyantally.internal.configuration;

import java.time.Duration;

/** Waits before a call is repeated. Tests replace it with one that moves their clock. */
@FunctionalInterface
public interface Pause {

    /** Lets the thread sleep. */
    Pause SLEEP = Thread::sleep;

    /** Waits. */
    void await(Duration duration) throws InterruptedException;
}
