package io.banyantally.internal.routing;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A request that counts as running at an upstream until it is closed. */
public final class RunningWork implements AutoCloseable {

    private final AtomicInteger runningCount;
    private final AtomicBoolean open = new AtomicBoolean(true);

    /** Creates work that {@code runningCount} already includes. */
    RunningWork(AtomicInteger runningCount) {
        this.runningCount = runningCount;
    }

    /** Ends the work; has no effect if it has already ended. */
    @Override
    public void close() {
        if (open.compareAndSet(true, false)) {
            runningCount.decrementAndGet();
        }
    }
}
