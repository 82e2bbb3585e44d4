package io.banyantally.internal.deployment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.time.Sleeper;
import io.banyantally.platform.CoordinationStore.StoreChanges;
import io.banyantally.platform.CoordinationStore.StoreListing;
import io.banyantally.testing.FakeCoordinationStore;
import io.banyantally.testing.ManualClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(20)
final class PrefixWatcherTest {

    private static final Duration STEP = Duration.ofMillis(5);

    private final ManualClock clock = new ManualClock();
    private final FakeCoordinationStore store = new FakeCoordinationStore(clock);
    private final StoreHealth health = new StoreHealth(clock);
    private final Recorder recorder = new Recorder();
    private final Sleeper shortSleeps = duration -> Thread.sleep(STEP);
    private final Thread thread = Thread.ofVirtual()
            .unstarted(new PrefixWatcher(
                    new EraCheckedStore(store, clock), "a/", PrefixWatcher.SHORT_WATCH, recorder, health, shortSleeps));

    @AfterEach
    void stop() {
        thread.interrupt();
    }

    /** Guards against missed changes: the store discards its history while the watch is disconnected. */
    @Test
    void listsAgainWhenTheHistoryIsDiscarded() throws InterruptedException {
        store.write("a/1", new byte[] {1});
        thread.start();
        await(() -> recorder.listings() == 1);
        store.setDown(true);
        await(() -> !health.isReachable());
        store.write("a/2", new byte[] {2});
        store.discardHistory();
        store.setDown(false);

        await(() -> recorder.listings() == 2);

        assertEquals(List.of("a/1", "a/2"), recorder.lastListing());
        assertTrue(health.isReachable());
    }

    /** Guards against a new listing after every short outage, which all VMs would request at once. */
    @Test
    void resumesFromItsRevisionAfterAnOutage() throws InterruptedException {
        thread.start();
        await(() -> recorder.listings() == 1);
        store.setDown(true);
        await(() -> !health.isReachable());
        store.write("a/2", new byte[] {2});
        store.setDown(false);

        await(() -> recorder.changes() == 1);

        assertEquals(1, recorder.listings());
    }

    /** Guards against lost items that stay in use: the store has passed the watch's revision again. */
    @Test
    void listsAgainWhenTheStoreReturnsOlder() throws InterruptedException {
        store.write("a/1", new byte[] {1});
        FakeCoordinationStore.Copy copy = store.copy();
        store.write("a/lost", new byte[] {2});
        thread.start();
        await(() -> recorder.listings() == 1);
        store.setDown(true);
        await(() -> !health.isReachable());

        store.returnOlder(copy);
        store.write("a/2", new byte[] {2});
        store.write("a/3", new byte[] {2});
        store.setDown(false);
        await(() -> recorder.listings() == 2);

        assertEquals(List.of("a/1", "a/2", "a/3"), recorder.lastListing());
    }

    /** Guards against a VM without any further change, after one that its listener could not handle. */
    @Test
    void goesOnAfterAFailureOfTheListener() throws InterruptedException {
        AtomicInteger failures = new AtomicInteger();
        recorder.beforeChange = () -> {
            if (failures.getAndIncrement() == 0) {
                throw new IllegalStateException("a change that can't be handled");
            }
        };
        thread.start();
        await(() -> recorder.listings() == 1);
        store.write("a/1", new byte[] {1});
        await(() -> failures.get() == 1);

        store.write("a/2", new byte[] {2});

        await(() -> recorder.listings() == 2);
        assertTrue(recorder.lastListing().contains("a/1"));
    }

    /** Guards against a VM that follows the store no more after the heap was full once, and says that it is ready. */
    @Test
    void goesOnAfterAnErrorOfTheListener() throws InterruptedException {
        AtomicInteger failures = new AtomicInteger();
        recorder.beforeChange = () -> {
            if (failures.getAndIncrement() == 0) {
                throw new OutOfMemoryError("test");
            }
        };
        thread.start();
        await(() -> recorder.listings() == 1);
        store.write("a/1", new byte[] {1});
        await(() -> failures.get() == 1);

        store.write("a/2", new byte[] {2});

        await(() -> recorder.listings() == 2);
        assertTrue(recorder.lastListing().contains("a/1"));
    }

    /** Guards against a task that still runs after the shutdown, and against logging a false outage of the store. */
    @Test
    void interruptEndsTheTask() throws InterruptedException {
        thread.start();
        await(() -> recorder.listings() == 1);

        thread.interrupt();
        thread.join(Duration.ofSeconds(5));

        assertFalse(thread.isAlive());
    }

    private static void await(java.util.function.BooleanSupplier condition) throws InterruptedException {
        while (!condition.getAsBoolean()) {
            Thread.sleep(STEP);
        }
    }

    private static final class Recorder implements PrefixListener {
        private final List<StoreListing> listings = new ArrayList<>();
        private volatile Runnable beforeChange = () -> {};
        private int changes;

        @Override
        public synchronized void listed(StoreListing listing) {
            listings.add(listing);
        }

        @Override
        public synchronized void changed(StoreChanges received) {
            beforeChange.run();
            changes += received.changes().size();
        }

        synchronized int listings() {
            return listings.size();
        }

        synchronized int changes() {
            return changes;
        }

        synchronized List<String> lastListing() {
            return listings.getLast().items().stream()
                    .map(item -> item.key().path())
                    .toList();
        }
    }
}
