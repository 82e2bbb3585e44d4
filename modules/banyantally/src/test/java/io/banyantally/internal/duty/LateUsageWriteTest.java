package io.banyantally.internal.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.adapter.WireFormat;
import io.banyantally.internal.deployment.GatewayStoreKeys;
import io.banyantally.internal.deployment.StoreHealth;
import io.banyantally.internal.time.WallClock;
import io.banyantally.model.ClientAccountId;
import io.banyantally.model.VmId;
import io.banyantally.platform.CoordinationStore;
import io.banyantally.platform.LeaseId;
import io.banyantally.platform.StoreEra;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.StoreTransaction;
import io.banyantally.testing.FakeCoordinationStore;
import io.banyantally.testing.ManualClock;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A write of usage that is in flight when the process writes its final counts. */
@Timeout(20)
final class LateUsageWriteTest {

    private static final ClientAccountId ACCOUNT = new ClientAccountId("account-1");

    private final ManualClock clock = new ManualClock();
    private final FakeCoordinationStore store = new FakeCoordinationStore(clock);
    private final DelayedOnceStore delayed = new DelayedOnceStore(store);
    private final UsageLedger ledger =
            new UsageLedger(new WallClock(clock, () -> clock.nanoTime() / 1_000_000), Duration.ofSeconds(5));

    /**
     * Guards against a report without the last requests of a process: an older write takes effect after the final one.
     */
    @Test
    void delayedOlderWriteDoesNotReplaceTheFinalCounts() throws Exception {
        UsagePublisher publisher = new UsagePublisher(
                delayed, () -> StoreEra.UNKNOWN, ledger, new StoreHealth(clock), clock, new VmId("vm-1"), "lifetime");
        ledger.countStarted(ACCOUNT);
        Thread older = Thread.ofVirtual().start(() -> publisher.publish(1));
        delayed.awaitCall();
        ledger.countStarted(ACCOUNT);

        assertTrue(publisher.close(Duration.ofSeconds(2)));
        delayed.release();
        older.join();

        WindowCounts written = WireFormat.decode(
                store.value(GatewayStoreKeys.usageCounts(new VmId("vm-1"), "lifetime"))
                        .orElseThrow(),
                WindowCounts.class);
        assertTrue(written.closed());
        assertEquals(2, written.of(ledger.currentWindow()).get(ACCOUNT));
    }

    /** A store whose first write takes effect only after {@link #release}. */
    private static final class DelayedOnceStore implements CoordinationStore {

        private final CoordinationStore store;
        private final CountDownLatch called = new CountDownLatch(1);
        private final CountDownLatch released = new CountDownLatch(1);
        private final AtomicBoolean delayed = new AtomicBoolean();

        DelayedOnceStore(CoordinationStore store) {
            this.store = store;
        }

        void awaitCall() throws InterruptedException {
            called.await();
        }

        void release() {
            released.countDown();
        }

        @Override
        public StoreListing list(String prefix) throws StoreException {
            return store.list(prefix);
        }

        @Override
        public StoreChanges awaitChanges(String prefix, StoreRevision after, Duration wait) throws StoreException {
            return store.awaitChanges(prefix, after, wait);
        }

        @Override
        public StoreRevision apply(StoreTransaction transaction) throws StoreException {
            if (delayed.compareAndSet(false, true)) {
                called.countDown();
                try {
                    released.await();
                } catch (InterruptedException interrupted) {
                    Thread.currentThread().interrupt();
                }
            }
            return store.apply(transaction);
        }

        @Override
        public LeaseId grantLease(Duration timeToLive) throws StoreException {
            return store.grantLease(timeToLive);
        }

        @Override
        public StoreEra renewLease(LeaseId lease) throws StoreException {
            return store.renewLease(lease);
        }
    }
}
