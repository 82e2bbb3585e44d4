package io.banyantally.internal.exchange;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.time.Sleeper;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import io.banyantally.platform.CoordinationStore;
import io.banyantally.platform.LeaseId;
import io.banyantally.platform.RevisionConflictException;
import io.banyantally.platform.StoreEra;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.StoreTransaction;
import io.banyantally.testing.FakeCoordinationStore;
import io.banyantally.testing.FakePeerHub;
import io.banyantally.testing.ManualClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Writes of a large fleet, with real waiting times. */
@Timeout(30)
final class BatchedStoreTest {

    private static final int VMS_PER_ZONE = 20;
    private static final int ZONES = 2;

    private final FakeCoordinationStore items = new FakeCoordinationStore(new ManualClock());
    private final CountingStore counting = new CountingStore(items);
    private final FakePeerHub hub = new FakePeerHub();
    private final Map<VmId, BatchedStore> storeByVm = new ConcurrentHashMap<>();

    /** Guards against calls to the store that grow with the fleet. */
    @Test
    void writesOfAZoneAreAppliedInFewTransactions() throws Exception {
        startFleet(VMS_PER_ZONE);

        Map<VmId, StoreRevision> revisions = writeByAll(Map.of());

        assertEquals(ZONES * VMS_PER_ZONE, revisions.size());
        int batchesOfAZone = (VMS_PER_ZONE + WriteBatch.MAXIMUM_WRITES - 1) / WriteBatch.MAXIMUM_WRITES;
        assertTrue(counting.calls.get() <= ZONES * (batchesOfAZone + 1), counting.calls + " transactions");
        assertTrue(counting.mostEntries.get() <= 32, counting.mostEntries + " entries in a transaction");
        for (VmId vm : revisions.keySet()) {
            assertArrayEquals(new byte[] {1}, items.value(key(vm)).orElseThrow());
        }
    }

    /** Guards against a revision that a later write of the same VM can't use. */
    @Test
    void laterWritesFollowTheRevisionOfABatch() throws Exception {
        startFleet(VMS_PER_ZONE);
        Map<VmId, StoreRevision> first = writeByAll(Map.of());
        counting.calls.set(0);

        Map<VmId, StoreRevision> second = writeByAll(first);

        assertEquals(first.keySet(), second.keySet());
        assertTrue(counting.calls.get() <= ZONES * 3, counting.calls + " transactions");
    }

    /** Guards against a VM with an outdated revision that keeps the writes of all others from the store. */
    @Test
    void conflictOfOneVmDoesNotPreventTheOthers() throws Exception {
        startFleet(VMS_PER_ZONE);
        VmId outdated = vm(0, 0);
        items.write(key(outdated).path(), new byte[] {7});

        Map<VmId, StoreRevision> revisions = writeByAll(Map.of());

        assertEquals(ZONES * VMS_PER_ZONE - 1, revisions.size());
        assertArrayEquals(new byte[] {7}, items.value(key(outdated)).orElseThrow());
    }

    /** Guards against writes that end with their delegate. */
    @Test
    void writesSucceedWithoutADelegate() throws Exception {
        startFleet(VMS_PER_ZONE);
        hub.isolate(vm(0, 3));
        for (int index = 0; index < VMS_PER_ZONE; index++) {
            hub.remove(vm(1, index));
        }

        Map<VmId, StoreRevision> revisions = writeByAll(Map.of());

        assertEquals(ZONES * VMS_PER_ZONE, revisions.size());
    }

    /** Guards against a lost answer to a batch that leaves its VMs without a result. */
    @Test
    void lostAnswerEndsInAConflictOfEachVm() throws Exception {
        startFleet(VMS_PER_ZONE);
        items.loseAnswers(1);

        StoreTransaction write = StoreTransaction.create(key(vm(0, 0)), new byte[] {1}, Optional.empty());

        assertThrows(
                RevisionConflictException.class, () -> storeByVm.get(vm(0, 0)).apply(write));
        assertArrayEquals(new byte[] {1}, items.value(key(vm(0, 0))).orElseThrow());
    }

    /** Guards against a store that is down for a VM without its notice. */
    @Test
    void outageOfTheStoreFailsTheWrite() throws Exception {
        startFleet(VMS_PER_ZONE);
        items.setDown(true);

        assertThrows(
                StoreException.class,
                () -> storeByVm
                        .get(vm(0, 0))
                        .apply(StoreTransaction.create(key(vm(0, 0)), new byte[] {1}, Optional.empty())));
    }

    /** Guards against a delay of writes in a small fleet, and of unconditional ones, which end a process. */
    @Test
    void smallFleetsAndUnconditionalWritesAreNotDelayed() throws Exception {
        startFleet(4);
        long startedAt = System.nanoTime();
        storeByVm.get(vm(0, 0)).apply(StoreTransaction.create(key(vm(0, 0)), new byte[] {1}, Optional.empty()));
        startFleet(VMS_PER_ZONE);
        storeByVm.get(vm(0, 1)).apply(StoreTransaction.put(key(vm(0, 1)), new byte[] {1}, Optional.empty()));

        assertTrue(System.nanoTime() - startedAt < BatchedStore.GATHER_TIME.toNanos());
    }

    private void startFleet(int vmsPerZone) {
        for (int zone = 0; zone < ZONES; zone++) {
            for (int index = 0; index < vmsPerZone; index++) {
                VmId vm = vm(zone, index);
                Peer peer = new Peer(vm, Incarnation.draw(), new AvailabilityZone("zone-" + zone));
                storeByVm.put(
                        vm,
                        new BatchedStore(
                                counting,
                                peer,
                                hub.join(peer),
                                MonotonicClock.SYSTEM,
                                Sleeper.SYSTEM,
                                new MetricRegistry()));
            }
        }
    }

    /** Writes the key of each VM at its revision; returns the revisions of the writes that succeeded. */
    private Map<VmId, StoreRevision> writeByAll(Map<VmId, StoreRevision> expected) throws Exception {
        Map<VmId, StoreRevision> revisions = new ConcurrentHashMap<>();
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Callable<Void>> writes = new ArrayList<>();
            storeByVm.forEach((vm, store) -> writes.add(() -> {
                StoreTransaction write = StoreTransaction.replace(
                        key(vm), expected.getOrDefault(vm, StoreRevision.ABSENT), new byte[] {1}, Optional.empty());
                try {
                    revisions.put(vm, store.apply(write));
                } catch (RevisionConflictException conflict) {
                    // The VM has no revision.
                }
                return null;
            }));
            for (Future<Void> write : executor.invokeAll(writes)) {
                write.get();
            }
        }
        return revisions;
    }

    private static VmId vm(int zone, int index) {
        return new VmId("vm-" + zone + "-" + index);
    }

    private static StoreKey key(VmId vm) {
        return new StoreKey("counts/" + vm);
    }

    /** Counts the transactions and their entries. */
    private static final class CountingStore implements CoordinationStore {

        private final CoordinationStore store;
        private final AtomicInteger calls = new AtomicInteger();
        private final AtomicInteger mostEntries = new AtomicInteger();

        CountingStore(CoordinationStore store) {
            this.store = store;
        }

        @Override
        public StoreRevision apply(StoreTransaction transaction) throws StoreException {
            calls.incrementAndGet();
            int entries = transaction.expectations().size() + transaction.puts().size();
            mostEntries.accumulateAndGet(entries, Math::max);
            return store.apply(transaction);
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
        public LeaseId grantLease(Duration timeToLive) throws StoreException {
            return store.grantLease(timeToLive);
        }

        @Override
        public StoreEra renewLease(LeaseId lease) throws StoreException {
            return store.renewLease(lease);
        }
    }
}
