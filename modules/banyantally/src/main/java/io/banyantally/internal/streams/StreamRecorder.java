package io.banyantally.internal.streams;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.time.Sleeper;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.model.SoftwareVersion;
import io.banyantally.platform.CoordinationStore;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreTransaction;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

/**
 * Writes the versions of streams to the store. Streams that begin while a write is under way share the next one, so
 * that the number of writes is limited however many streams begin.
 */
final class StreamRecorder {

    /** The store takes at most 32 entries in one transaction. */
    static final int MAXIMUM_PUTS = 32;

    /** So that a write without an answer does not hold up the next ones. */
    private static final int MAXIMUM_WRITERS = 3;

    /** How long a failed write keeps streams away from versions that need a record. */
    private static final Duration FAILURE_TIME = Duration.ofSeconds(2);

    private static final EventLog LOG = EventLog.of(StreamRecorder.class);

    private final CoordinationStore store;
    private final Supplier<Duration> minimumInterval;
    private final MonotonicClock clock;
    private final Sleeper sleeper;
    private final Executor executor;
    private final Counter records;
    private final Counter failures;
    private final Deque<Pending> waiting = new ArrayDeque<>();
    private int writers;
    private long nextWriteAt;
    private OptionalLong failedAt = OptionalLong.empty();

    /**
     * Creates a recorder.
     *
     * @param minimumInterval the time between two writes of this VM, so that those of all VMs stay within the store's rate
     * @param executor runs tasks that block
     */
    StreamRecorder(
            CoordinationStore store,
            Supplier<Duration> minimumInterval,
            MonotonicClock clock,
            Sleeper sleeper,
            Executor executor,
            MetricRegistry metrics) {
        this.store = store;
        this.minimumInterval = minimumInterval;
        this.clock = clock;
        this.sleeper = sleeper;
        this.executor = executor;
        this.records = metrics.counter("stream_records.written");
        this.failures = metrics.counter("stream_records.failed");
        this.nextWriteAt = clock.nanoTime();
    }

    /** Begins to write the version of a stream; the result is true once the store has confirmed it. */
    CompletableFuture<Boolean> record(StoreKey key, SoftwareVersion version) {
        Pending pending = new Pending(key, version, new CompletableFuture<>());
        synchronized (this) {
            waiting.addLast(pending);
            if (writers >= MAXIMUM_WRITERS) {
                return pending.confirmed();
            }
            writers++;
        }
        executor.execute(this::writeAll);
        return pending.confirmed();
    }

    /** Returns whether a write has failed lately, so that the next one is likely to fail. */
    synchronized boolean isFailing() {
        return failedAt.isPresent() && clock.since(failedAt.getAsLong()).compareTo(FAILURE_TIME) < 0;
    }

    private void writeAll() {
        try {
            while (goesOn()) {
                sleeper.sleep(untilTurn());
                List<Pending> batch = takeBatch();
                boolean written = false;
                try {
                    written = batch.isEmpty() || write(batch);
                } finally {
                    for (Pending pending : batch) {
                        pending.confirmed().complete(written);
                    }
                }
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns whether streams wait; ends this writer if there are none. */
    private synchronized boolean goesOn() {
        if (waiting.isEmpty()) {
            writers--;
        }
        return !waiting.isEmpty();
    }

    /** Reserves the next write, and returns the time until it may begin. */
    private synchronized Duration untilTurn() {
        long now = clock.nanoTime();
        long turn = Math.max(now, nextWriteAt);
        nextWriteAt = turn + minimumInterval.get().toNanos();
        return Duration.ofNanos(turn - now);
    }

    private synchronized List<Pending> takeBatch() {
        List<Pending> batch = new ArrayList<>();
        while (batch.size() < MAXIMUM_PUTS && !waiting.isEmpty()) {
            batch.add(waiting.removeFirst());
        }
        return batch;
    }

    private boolean write(List<Pending> batch) {
        try {
            store.apply(transaction(batch));
            records.inc(batch.size());
            recordResult(OptionalLong.empty());
            return true;
        } catch (StoreException failure) {
            failures.inc(batch.size());
            recordResult(OptionalLong.of(clock.nanoTime()));
            LOG.warn(
                    "streams_not_recorded",
                    EventField.of("streams", batch.size()),
                    EventField.of("reason", failure.getMessage()));
            return false;
        }
    }

    private synchronized void recordResult(OptionalLong failure) {
        failedAt = failure;
    }

    private static StoreTransaction transaction(List<Pending> batch) {
        // Not under a lease: an outage may end leases, and the streams would go on at the default version.
        List<StoreTransaction.Put> puts = batch.stream()
                .map(pending -> new StoreTransaction.Put(
                        pending.key(), pending.version().value().getBytes(StandardCharsets.UTF_8), Optional.empty()))
                .toList();
        return new StoreTransaction(List.of(), puts, List.of());
    }

    private record Pending(StoreKey key, SoftwareVersion version, CompletableFuture<Boolean> confirmed) {}
}
