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
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.StoreTransaction;
import io.banyantally.platform.StoreUnavailableException;
import io.banyantally.testing.FakeCoordinationStore;
import io.banyantally.testing.ManualClock;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

final class UsagePublisherTest {

    /** A reported window may be off by this part of its requests. */
    private static final double TOLERATED_PART = 0.05;

    /** The number of VMs of the deployments that lose all processes at once in the incidents. */
    private static final int SMALL_DEPLOYMENT = 10;

    private static final Duration WINDOW = Duration.ofSeconds(5);

    /** The store's rate of writes, from the deployments' sheets. */
    private static final double STORE_WRITES_PER_SECOND = 400;

    /** Guards against a wrong report after the death of all processes at once, which small deployments see. */
    @Test
    void deathOfAllVmsOfASmallDeploymentLosesATolerablePartOfAWindow() {
        for (int vms = 1; vms <= SMALL_DEPLOYMENT; vms++) {
            Duration meanLoss = UsagePublisher.interval(vms).dividedBy(2);
            assertTrue(
                    meanLoss.toMillis() <= TOLERATED_PART * WINDOW.toMillis(),
                    vms + " VMs lose " + meanLoss + " of a window");
        }
    }

    /** Guards against a wrong report after the death of one process of many. */
    @Test
    void deathOfOneVmLosesATolerablePartOfAWindow() {
        for (int vms = 1; vms <= 3300; vms++) {
            assertTrue(UsagePublisher.interval(vms).toMillis() / (double) vms <= TOLERATED_PART * WINDOW.toMillis());
        }
    }

    /** Guards against usage that takes the rate of writes which leases and orders need. */
    @Test
    void smallDeploymentsTakeATenthOfTheStoresRate() {
        for (int vms = 1; vms <= 40; vms++) {
            double writesPerSecond = vms * 1000.0 / UsagePublisher.interval(vms).toMillis();
            assertTrue(writesPerSecond <= STORE_WRITES_PER_SECOND / 10, vms + " VMs write " + writesPerSecond);
        }
    }

    /** Guards against the usage of a whole shutdown that is lost because its last write hangs on a silent connection. */
    @Test
    void lastCountsAreWrittenThoughTheFirstAttemptHangs() throws Exception {
        ManualClock clock = new ManualClock();
        FakeCoordinationStore store = new FakeCoordinationStore(clock);
        HangingOnceStore hanging = new HangingOnceStore(store);
        UsageLedger ledger = new UsageLedger(new WallClock(clock, () -> clock.nanoTime() / 1_000_000), WINDOW);
        ledger.began(new ClientAccountId("account-1"));
        UsagePublisher publisher =
                new UsagePublisher(hanging, ledger, new StoreHealth(clock), new VmId("vm-1"), "lifetime");

        assertTrue(publisher.close(Duration.ofSeconds(2)));

        assertEquals(1, store.keys(GatewayStoreKeys.USAGE_PREFIX).size());
        hanging.release();
    }

    /** Guards against counts that are never written again once the answer to a write was lost. */
    @Test
    void countsAreWrittenInTheRoundAfterALostAnswer() throws Exception {
        ManualClock clock = new ManualClock();
        FakeCoordinationStore store = new FakeCoordinationStore(clock);
        UsageLedger ledger = new UsageLedger(new WallClock(clock, () -> clock.nanoTime() / 1_000_000), WINDOW);
        UsagePublisher publisher =
                new UsagePublisher(store, ledger, new StoreHealth(clock), new VmId("vm-1"), "lifetime");
        ledger.began(new ClientAccountId("account-1"));
        store.loseAnswers(1);
        publisher.publish();
        ledger.began(new ClientAccountId("account-1"));

        publisher.publish();

        WindowCounts written = WireFormat.decode(
                store.value(GatewayStoreKeys.usageCounts(new VmId("vm-1"), "lifetime"))
                        .orElseThrow(),
                WindowCounts.class);
        assertEquals(2, written.of(ledger.currentWindow()).get(new ClientAccountId("account-1")));
    }

    /** A store whose first write hangs until it is released. */
    private static final class HangingOnceStore implements CoordinationStore {
        private final CoordinationStore store;
        private final CountDownLatch released = new CountDownLatch(1);
        private final AtomicBoolean hung = new AtomicBoolean();

        HangingOnceStore(CoordinationStore store) {
            this.store = store;
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
            if (hung.compareAndSet(false, true)) {
                try {
                    released.await();
                } catch (InterruptedException interrupted) {
                    Thread.currentThread().interrupt();
                }
                throw new StoreUnavailableException("no answer");
            }
            return store.apply(transaction);
        }

        @Override
        public LeaseId grantLease(Duration timeToLive) throws StoreException {
            return store.grantLease(timeToLive);
        }

        @Override
        public void renewLease(LeaseId lease) throws StoreException {
            store.renewLease(lease);
        }
    }
}
