package io.banyantally.internal.streams;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.time.Sleeper;
import io.banyantally.model.AttemptId;
import io.banyantally.model.SoftwareVersion;
import io.banyantally.platform.CoordinationStore;
import io.banyantally.platform.LeaseId;
import io.banyantally.platform.StoreEra;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.StoreTransaction;
import io.banyantally.platform.StoreUnavailableException;
import io.banyantally.testing.Deployments;
import io.banyantally.testing.FakeCoordinationStore;
import io.banyantally.testing.ManualClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Records of streams that begin at a high rate, or while the store is slow or away, with real waiting times. */
@Timeout(30)
final class StreamRecorderTest {

    private static final SoftwareVersion VERSION = new SoftwareVersion("v2");
    private static final Executor THREADS = task -> Thread.ofVirtual().start(task);
    private static final Duration INTERVAL = Duration.ofMillis(50);

    private final FakeCoordinationStore items = new FakeCoordinationStore(new ManualClock());
    private final AtomicInteger writes = new AtomicInteger();

    /** Guards against a number of writes that grows with the streams, which the store's rate does not allow. */
    @Test
    void streamsThatBeginTogetherShareWrites() throws Exception {
        StreamRecorder recorder = recorder(Duration.ofMillis(20));
        List<CompletableFuture<Boolean>> records = new ArrayList<>();

        long startedAt = System.nanoTime();
        for (int stream = 0; stream < 500; stream++) {
            records.add(recorder.record(key(stream), VERSION));
            Thread.sleep(1);
        }
        for (CompletableFuture<Boolean> recorded : records) {
            assertTrue(recorded.get(5, TimeUnit.SECONDS));
        }

        long allowed = 2 + (System.nanoTime() - startedAt) / INTERVAL.toNanos();
        assertTrue(writes.get() <= allowed, writes + " writes, " + allowed + " allowed");
        assertEquals(500, items.keys(StreamStoreKeys.RECORDS_PREFIX).size());
    }

    /** Guards against a first event that waits for its turn although the VM has recorded nothing lately. */
    @Test
    void singleStreamIsRecordedAtOnce() throws Exception {
        StreamRecorder recorder = recorder(Duration.ZERO);

        for (int stream = 0; stream < 5; stream++) {
            long startedAt = System.nanoTime();
            assertTrue(recorder.record(key(stream), VERSION).get(5, TimeUnit.SECONDS));
            Duration taken = Duration.ofNanos(System.nanoTime() - startedAt);
            assertTrue(taken.compareTo(INTERVAL) < 0, "stream " + stream + " took " + taken);
            Thread.sleep(INTERVAL.multipliedBy(2));
        }
    }

    /** Guards against streams that are held up by a write without an answer. */
    @Test
    void writeWithoutAnswerDoesNotHoldUpTheNext() throws Exception {
        Duration silence = Duration.ofSeconds(3);
        StreamRecorder recorder = recorder(silence);
        CompletableFuture<Boolean> silent = recorder.record(key(0), VERSION);
        Thread.sleep(INTERVAL.multipliedBy(2));

        CompletableFuture<Boolean> next = recorder.record(key(1), VERSION);
        Thread.sleep(INTERVAL.multipliedBy(2));

        assertFalse(silent.isDone());
        assertEquals(2, writes.get());
        assertFalse(next.isDone());
    }

    /** Guards against a stream that counts as recorded although the store has not confirmed it. */
    @Test
    void failedWriteIsNotConfirmedAndIsKnown() throws Exception {
        items.setDown(true);
        StreamRecorder recorder = recorder(Duration.ZERO);

        assertFalse(recorder.record(key(0), VERSION).get(5, TimeUnit.SECONDS));

        assertTrue(recorder.isFailing());
        items.setDown(false);
        assertTrue(recorder.record(key(1), VERSION).get(5, TimeUnit.SECONDS));
        assertFalse(recorder.isFailing());
    }

    private static StoreKey key(int stream) {
        return StreamStoreKeys.record(Deployments.ENGINES, new AttemptId("attempt-" + stream));
    }

    private StreamRecorder recorder(Duration writeTime) {
        return new StreamRecorder(
                new SlowStore(writeTime),
                () -> INTERVAL,
                MonotonicClock.SYSTEM,
                Sleeper.SYSTEM,
                THREADS,
                new MetricRegistry());
    }

    /** A store whose writes take some time. */
    private final class SlowStore implements CoordinationStore {
        private final Duration writeTime;

        SlowStore(Duration writeTime) {
            this.writeTime = writeTime;
        }

        @Override
        public StoreRevision apply(StoreTransaction transaction) throws StoreException {
            writes.incrementAndGet();
            try {
                Thread.sleep(writeTime);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                throw new StoreUnavailableException("interrupted");
            }
            return items.apply(transaction);
        }

        @Override
        public StoreListing list(String prefix) throws StoreException {
            return items.list(prefix);
        }

        @Override
        public StoreChanges awaitChanges(String prefix, StoreRevision after, Duration wait) throws StoreException {
            return items.awaitChanges(prefix, after, wait);
        }

        @Override
        public LeaseId grantLease(Duration timeToLive) throws StoreException {
            return items.grantLease(timeToLive);
        }

        @Override
        public StoreEra renewLease(LeaseId lease) throws StoreException {
            return items.renewLease(lease);
        }
    }
}
