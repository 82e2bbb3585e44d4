package io.banyantally.internal.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.adapter.WireFormat;
import io.banyantally.internal.deployment.EraCheckedStore;
import io.banyantally.internal.deployment.GatewayStoreKeys;
import io.banyantally.internal.deployment.StoreHealth;
import io.banyantally.internal.time.WallClock;
import io.banyantally.model.ClientAccountId;
import io.banyantally.model.VmId;
import io.banyantally.platform.CoordinationStore;
import io.banyantally.platform.LeaseId;
import io.banyantally.platform.StoreEra;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.StoreTransaction;
import io.banyantally.platform.StoreUnavailableException;
import io.banyantally.testing.FakeCoordinationStore;
import io.banyantally.testing.ManualClock;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

final class UsagePublisherTest {

    /** The fraction of its requests by which a reported window may be wrong. */
    private static final double TOLERATED_ERROR = 0.05;

    /** The number of VMs up to which a deployment may lose all processes at once, as has happened. */
    private static final int SMALL_DEPLOYMENT_VMS = 10;

    private static final Duration WINDOW = Duration.ofSeconds(5);

    /** The write rate of the store, from the data sheets of the deployments. */
    private static final double STORE_WRITES_PER_SECOND = 400;

    /** Guards against a wrong report after all processes of a small deployment have crashed at once. */
    @Test
    void crashOfAllVmsOfASmallDeploymentLosesATolerablePartOfAWindow() {
        for (int vms = 1; vms <= SMALL_DEPLOYMENT_VMS; vms++) {
            Duration meanLoss = UsagePublisher.interval(vms).dividedBy(2);
            assertTrue(
                    meanLoss.toMillis() <= TOLERATED_ERROR * WINDOW.toMillis(),
                    vms + " VMs lose " + meanLoss + " of a window");
        }
    }

    /** Guards against a wrong report after one of many processes has crashed. */
    @Test
    void crashOfOneVmLosesATolerablePartOfAWindow() {
        for (int vms = 1; vms <= 3300; vms++) {
            assertTrue(UsagePublisher.interval(vms).toMillis() / (double) vms <= TOLERATED_ERROR * WINDOW.toMillis());
        }
    }

    /** Guards against usage writes that use up the write rate that leases and orders need. */
    @Test
    void smallDeploymentsUseATenthOfTheWriteRateOfTheStore() {
        for (int vms = 1; vms <= 40; vms++) {
            double writesPerSecond = vms * 1000.0 / UsagePublisher.interval(vms).toMillis();
            assertTrue(writesPerSecond <= STORE_WRITES_PER_SECOND / 10, vms + " VMs write " + writesPerSecond);
        }
    }

    /** Guards against usage writes of a large fleet whose number is that of its VMs every second; each is charged. */
    @Test
    void vmOfALargeFleetWritesTwiceInAWindow() throws Exception {
        ManualClock clock = new ManualClock();
        FakeCoordinationStore store = new FakeCoordinationStore(clock);
        UsageLedger ledger = new UsageLedger(new WallClock(clock, () -> clock.nanoTime() / 1_000_000), WINDOW);
        UsagePublisher publisher = new UsagePublisher(
                store, () -> StoreEra.UNKNOWN, ledger, new StoreHealth(clock), clock, new VmId("vm-1"), "lifetime");
        StoreKey key = GatewayStoreKeys.usageCounts(new VmId("vm-1"), "lifetime");
        Set<StoreRevision> writes = new HashSet<>();
        int windows = 12;
        for (int second = 0; second < WINDOW.toSeconds() * windows; second++) {
            ledger.countStarted(new ClientAccountId("account-1"));
            publisher.publish(95);
            store.list(key.path())
                    .items()
                    .forEach(item -> writes.add(item.versioned().revision()));
            clock.advance(UsagePublisher.interval(95));
        }

        assertTrue(writes.size() <= 2 * windows, writes.size() + " writes");
        assertTrue(writes.size() >= windows, writes.size() + " writes");
    }

    /**
     * Guards against losing the usage counted during a shutdown because its last write hangs on an unresponsive
     * connection.
     */
    @Test
    void finalCountsAreWrittenThoughTheFirstAttemptHangs() throws Exception {
        ManualClock clock = new ManualClock();
        FakeCoordinationStore store = new FakeCoordinationStore(clock);
        HangingOnceStore hanging = new HangingOnceStore(store);
        UsageLedger ledger = new UsageLedger(new WallClock(clock, () -> clock.nanoTime() / 1_000_000), WINDOW);
        ledger.countStarted(new ClientAccountId("account-1"));
        UsagePublisher publisher = new UsagePublisher(
                hanging, () -> StoreEra.UNKNOWN, ledger, new StoreHealth(clock), clock, new VmId("vm-1"), "lifetime");

        assertTrue(publisher.close(Duration.ofSeconds(2)));

        assertEquals(1, store.keys(GatewayStoreKeys.USAGE_PREFIX).size());
        hanging.release();
    }

    /** Guards against counts that are never written again once the response to a write was lost. */
    @Test
    void countsAreWrittenInTheRoundAfterALostResponse() throws Exception {
        ManualClock clock = new ManualClock();
        FakeCoordinationStore store = new FakeCoordinationStore(clock);
        UsageLedger ledger = new UsageLedger(new WallClock(clock, () -> clock.nanoTime() / 1_000_000), WINDOW);
        UsagePublisher publisher = new UsagePublisher(
                store, () -> StoreEra.UNKNOWN, ledger, new StoreHealth(clock), clock, new VmId("vm-1"), "lifetime");
        ledger.countStarted(new ClientAccountId("account-1"));
        store.loseAnswers(1);
        publisher.publish(1);
        ledger.countStarted(new ClientAccountId("account-1"));

        publisher.publish(1);

        WindowCounts written = WireFormat.decode(
                store.value(GatewayStoreKeys.usageCounts(new VmId("vm-1"), "lifetime"))
                        .orElseThrow(),
                WindowCounts.class);
        assertEquals(2, written.of(ledger.currentWindow()).get(new ClientAccountId("account-1")));
    }

    /** Guards against a report without the counts that a VM has published, when the store comes back older. */
    @Test
    void publishedCountsAreWrittenAgainInANewEraOfTheStore() throws Exception {
        ManualClock clock = new ManualClock();
        FakeCoordinationStore store = new FakeCoordinationStore(clock);
        EraCheckedStore checked = new EraCheckedStore(store, clock);
        UsageLedger ledger = new UsageLedger(new WallClock(clock, () -> clock.nanoTime() / 1_000_000), WINDOW);
        UsagePublisher publisher = new UsagePublisher(
                checked,
                () -> checked.era().orElse(StoreEra.UNKNOWN),
                ledger,
                new StoreHealth(clock),
                clock,
                new VmId("vm-1"),
                "lifetime");
        publisher.publish(1);
        FakeCoordinationStore.Copy copy = store.copy();
        ledger.countStarted(new ClientAccountId("account-1"));
        publisher.publish(1);
        store.returnOlder(copy);
        checked.list("any prefix");

        publisher.publish(1);

        WindowCounts written = WireFormat.decode(
                store.value(GatewayStoreKeys.usageCounts(new VmId("vm-1"), "lifetime"))
                        .orElseThrow(),
                WindowCounts.class);
        assertEquals(1, written.of(ledger.currentWindow()).get(new ClientAccountId("account-1")));
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
        public StoreEra renewLease(LeaseId lease) throws StoreException {
            return store.renewLease(lease);
        }
    }
}
