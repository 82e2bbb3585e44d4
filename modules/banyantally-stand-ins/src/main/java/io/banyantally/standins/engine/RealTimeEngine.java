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

/** Drives the cost model by the system clock, and hands each job its events. */
final class RealTimeEngine implements AutoCloseable {

    /** An idle engine still makes load reports. */
    private static final long LONGEST_PARK_NANOS = 100_000_000;

    /** A job that waits for room would otherwise be looked at without a pause. */
    private static final long SHORTEST_PARK_NANOS = 50_000;

    private final EngineModel model;
    private final Map<Long, BlockingQueue<Optional<EngineEvent>>> waiting = new HashMap<>();
    private final Thread driver;
    private volatile boolean closed;

    RealTimeEngine(EngineCosts costs, EngineRole role) {
        model = new EngineModel(costs, role, System.nanoTime(), true);
        driver = Thread.ofPlatform().daemon().name("engine-driver").start(this::drive);
    }

    private void drive() {
        while (!closed) {
            LockSupport.parkNanos(Math.clamp(advance() - System.nanoTime(), SHORTEST_PARK_NANOS, LONGEST_PARK_NANOS));
        }
    }

    private synchronized long advance() {
        model.advanceTo(System.nanoTime(), event -> {
            BlockingQueue<Optional<EngineEvent>> queue = waiting.get(event.jobId());
            if (queue != null) {
                queue.add(Optional.of(event));
            }
        });
        long next = model.nextEventNanoTime();
        return next == Long.MAX_VALUE ? System.nanoTime() + LONGEST_PARK_NANOS : next;
    }

    /** Starts a job. The queue gets its events, and an empty element when the job is cancelled. */
    BlockingQueue<Optional<EngineEvent>> submit(EngineJob job) {
        BlockingQueue<Optional<EngineEvent>> queue = new LinkedBlockingQueue<>();
        synchronized (this) {
            advance();
            waiting.put(job.id(), queue);
            model.submit(job);
        }
        LockSupport.unpark(driver);
        return queue;
    }

    /** Stops a job; an ended or unknown one is ignored. */
    synchronized void cancel(long jobId) {
        advance();
        model.cancel(jobId);
        BlockingQueue<Optional<EngineEvent>> queue = waiting.remove(jobId);
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

    /** Returns how long the copy of a block to another engine takes. */
    synchronized long blockTransferNanos() {
        return model.transferNanos(EngineCosts.BLOCK_TOKENS);
    }

    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(driver);
    }
}
