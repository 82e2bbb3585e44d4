package io.banyantally.internal.routing;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** One piece of work that runs at an upstream, until it is closed. */
public final class RunningWork implements AutoCloseable {

    private final AtomicInteger count;
    private final AtomicBoolean open = new AtomicBoolean(true);

    /** Creates work that is already counted. */
    RunningWork(AtomicInteger count) {
        this.count = count;
    }

    /** Ends the work; closing it again does nothing. */
    @Override
    public void close() {
        if (open.compareAndSet(true, false)) {
            count.decrementAndGet();
        }
    }
}
