package io.banyantally.standins.engine;

import io.banyantally.upstream.CacheEvent;
import io.banyantally.upstream.EngineRole;
import io.banyantally.upstream.LoadReport;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.locks.LockSupport;

/** Advances the cost model with the system clock and queues the events of each job. */
final class RealTimeEngine implements AutoCloseable {

    /** An idle engine still has to make load reports. */
    private static final long MAXIMUM_PARK_NANOS = 100_000_000;

    /** Without a minimum, the driver would spin while a job waits for cache blocks. */
    private static final long MINIMUM_PARK_NANOS = 50_000;

    private final EngineModel model;
    private final Map<Long, BlockingQueue<Optional<EngineEvent>>> eventQueues = new HashMap<>();
    private final Thread driver;
    private volatile boolean closed;

    RealTimeEngine(EngineCosts costs, EngineRole role) {
        model = new EngineModel(costs, role, System.nanoTime(), true);
        driver = Thread.ofPlatform().daemon().name("engine-driver").start(this::drive);
    }

    private void drive() {
        while (!closed) {
            LockSupport.parkNanos(Math.clamp(advance() - System.nanoTime(), MINIMUM_PARK_NANOS, MAXIMUM_PARK_NANOS));
        }
    }

    private synchronized long advance() {
        model.advanceTo(System.nanoTime(), event -> {
            BlockingQueue<Optional<EngineEvent>> queue = eventQueues.get(event.jobId());
            if (queue != null) {
                queue.add(Optional.of(event));
            }
        });
        long next = model.nextEventNanoTime();
        return next == Long.MAX_VALUE ? System.nanoTime() + MAXIMUM_PARK_NANOS : next;
    }

    /** Starts a job. The queue gets its events, and an empty element when the job is cancelled. */
    BlockingQueue<Optional<EngineEvent>> submit(EngineJob job) {
        BlockingQueue<Optional<EngineEvent>> queue = new LinkedBlockingQueue<>();
        synchronized (this) {
            advance();
            eventQueues.put(job.id(), queue);
            model.submit(job);
        }
        LockSupport.unpark(driver);
        return queue;
    }

    /** Cancels a job. Finished and unknown jobs are ignored. */
    synchronized void cancel(long jobId) {
        advance();
        model.cancel(jobId);
        BlockingQueue<Optional<EngineEvent>> queue = eventQueues.remove(jobId);
        if (queue != null) {
            queue.add(Optional.empty());
        }
    }

    synchronized void changeRole(EngineRole role) {
        advance();
        model.changeRole(role);
    }

    synchronized int jobs() {
        return model.jobCount();
    }

    synchronized LoadReport loadReport() {
        advance();
        return model.loadReport();
    }

    synchronized List<CacheEvent> cacheEvents(long after) {
        advance();
        return model.cacheEvents(after);
    }

    synchronized boolean holds(long prefixHash) {
        return model.heldBlocks(new long[] {prefixHash}) > 0;
    }

    synchronized void importPrefix(long prefixHash) {
        advance();
        model.importPrefix(new long[] {prefixHash});
    }

    /** Returns the nanoseconds that the copy of a block to another engine takes. */
    synchronized long blockTransferNanos() {
        return model.transferNanos(EngineCosts.BLOCK_TOKENS);
    }

    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(driver);
    }
}
