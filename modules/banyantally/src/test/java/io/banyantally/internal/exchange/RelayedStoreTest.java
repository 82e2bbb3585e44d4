package io.banyantally.internal.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.internal.deployment.EraCheckedStore;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import io.banyantally.platform.CoordinationStore;
import io.banyantally.platform.HistoryDiscardedException;
import io.banyantally.platform.LeaseId;
import io.banyantally.platform.StoreEra;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.StoreTransaction;
import io.banyantally.platform.StoreUnavailableException;
import io.banyantally.testing.FakeCoordinationStore;
import io.banyantally.testing.FakePeerHub;
import io.banyantally.testing.ManualClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Watches of a large fleet, with real waiting times. */
@Timeout(60)
final class RelayedStoreTest {

    private static final String PREFIX = "a/";
    private static final int VMS_PER_ZONE = 10;
    private static final Duration WAIT = Duration.ofMillis(200);

    /** The bound on the time until a change is in force, less that of a watch that hangs. */
    private static final Duration PROPAGATION_LIMIT = Duration.ofSeconds(1);

    private final FakeCoordinationStore items = new FakeCoordinationStore(new ManualClock());
    private final FakePeerHub hub = new FakePeerHub();
    private final AtomicInteger watches = new AtomicInteger();

    /** How often all watches that waited were cut. */
    private final AtomicInteger cuts = new AtomicInteger();

    private final Set<VmId> rejected = ConcurrentHashMap.newKeySet();
    private final List<Follower> followers = new ArrayList<>();

    @AfterEach
    void stop() {
        followers.forEach(follower -> follower.thread.interrupt());
    }

    /** Guards against a key that stays in use: the removal is in the part of the history that the store has lost. */
    @Test
    void itemsThatTheStoreLostAreGoneFromAllVmsAfterItReturnsOlder() throws Exception {
        startFleet(2);
        FakeCoordinationStore.Copy copy = items.copy();
        items.write(PREFIX + "lost", new byte[] {1});
        awaitKey(followers, PREFIX + "lost");

        items.returnOlder(copy);
        for (int change = 1; change <= 3; change++) {
            items.write(PREFIX + "again-" + change, new byte[] {1});
        }

        for (int change = 1; change <= 3; change++) {
            awaitKey(followers, PREFIX + "again-" + change);
        }
        assertEquals(
                List.of(),
                followers.stream()
                        .filter(follower -> follower.keys.contains(PREFIX + "lost"))
                        .map(follower -> follower.vm)
                        .toList());
    }

    /** Guards against watches of the store whose number grows with the fleet. */
    @Test
    void onlyTheDelegatesWatchTheStore() throws Exception {
        startFleet(2);
        Thread.sleep(ZoneDelegates.AVOIDANCE_TIME);
        watches.set(0);

        Thread.sleep(WAIT.multipliedBy(5));

        int direct = watches.get();
        assertTrue(direct <= 2 * 6, direct + " watches of two delegates in five waits");
    }

    /** Guards against changes that reach only the VMs that watch the store. */
    @Test
    void changeReachesAllVms() throws Exception {
        startFleet(2);
        watches.set(0);

        items.write(PREFIX + "new", new byte[] {1});

        awaitKey(followers, PREFIX + "new");
        int direct = watches.get();
        assertTrue(direct <= followers.size() / 2, direct + " watches of the store for one change");
    }

    /** Guards against a zone without changes after its delegate has failed. */
    @Test
    void changeReachesTheOthersAfterTheLossOfADelegate() throws Exception {
        startFleet(2);
        Follower delegate = delegate();
        hub.isolate(delegate.vm);
        delegate.thread.interrupt();

        items.write(PREFIX + "new", new byte[] {1});

        awaitKey(followers.stream().filter(follower -> follower != delegate).toList(), PREFIX + "new");
    }

    /** Guards against a zone that believes a delegate which the store turns away. */
    @Test
    void changeReachesTheOthersWhileTheStoreRejectsADelegate() throws Exception {
        startFleet(2);
        Follower delegate = delegate();
        rejected.add(delegate.vm);

        items.write(PREFIX + "new", new byte[] {1});

        awaitKey(followers.stream().filter(follower -> follower != delegate).toList(), PREFIX + "new");
    }

    /** Guards against large values on the links of delegates, which are slow compared to the store's. */
    @Test
    void largeChangeIsReadFromTheStore() throws Exception {
        startFleet(2);
        watches.set(0);

        items.write(PREFIX + "large", new byte[RelayedStore.MAXIMUM_RELAYED_BYTES + 1]);

        awaitKey(followers, PREFIX + "large");
        assertTrue(watches.get() >= followers.size() - 2, watches + " watches of the store");
    }

    /** Guards against a small fleet that depends on one of its VMs. */
    @Test
    void smallFleetWatchesTheStore() throws Exception {
        startFollowers(1, 6);
        watches.set(0);

        Thread.sleep(WAIT.multipliedBy(3));

        assertTrue(watches.get() >= 6 * 2, watches + " watches");
    }

    /** Guards against requests to leaving upstreams and by withdrawn keys at a VM that alone is turned away. */
    @Test
    void changesReachAVmOfASmallFleetThatTheStoreRejects() throws Exception {
        startFollowers(2, 3);
        rejected.add(followers.getFirst().vm);
        Thread.sleep(WAIT.multipliedBy(2));

        for (int change = 1; change <= 3; change++) {
            items.write(PREFIX + "new-" + change, new byte[] {1});

            awaitKey(followers, PREFIX + "new-" + change);
        }
    }

    /**
     * Guards against an upstream or key that stays in use because a VM whose watch was cut believes a peer that has not
     * noticed that its own watch was cut.
     */
    @Test
    void changeIsReadFromTheStoreAfterACutWatch() throws Exception {
        AvailabilityZone zone = new AvailabilityZone("zone-0");
        Follower unaware = new Follower(new VmId("vm-0"), zone);
        Follower cut = new Follower(new VmId("vm-1"), zone);
        unaware.store.list(PREFIX);
        StoreRevision listed = cut.store.list(PREFIX).revision();
        items.write(PREFIX + "new", new byte[] {1});
        cut.cuts.set(1);

        CoordinationStore.StoreChanges changes = cut.store.awaitChanges(PREFIX, listed, WAIT);

        assertEquals(
                List.of(PREFIX + "new"),
                changes.changes().stream().map(change -> change.key().path()).toList());
    }

    /** Guards against a change that some VMs learn late because the watches of all are cut with it. */
    @ParameterizedTest
    @CsvSource({"2, 2", "2, 3", "5, 19"})
    void changeReachesAllVmsAlthoughAllWatchesAreCutWithIt(int zones, int vmsPerZone) throws Exception {
        startFollowers(zones, vmsPerZone);

        for (int change = 1; change <= 5; change++) {
            items.write(PREFIX + "new-" + change, new byte[] {1});
            cuts.incrementAndGet();

            awaitKey(followers, PREFIX + "new-" + change);
        }
    }

    /** Guards against a VM that takes the silence of its peers for that of the store while all are turned away. */
    @Test
    void outageIsNoticedWhileTheStoreRejectsAllVms() throws Exception {
        startFollowers(2, 3);
        followers.forEach(follower -> rejected.add(follower.vm));
        Thread.sleep(RelayedStore.CONFIRMATION_MARGIN.plus(WAIT.multipliedBy(3)));
        followers.forEach(follower -> follower.failures.set(0));

        Thread.sleep(WAIT.multipliedBy(2));

        assertEquals(
                List.of(),
                followers.stream()
                        .filter(follower -> follower.failures.get() == 0)
                        .map(follower -> follower.vm)
                        .toList());
    }

    private void startFleet(int zones) throws InterruptedException {
        startFollowers(zones, VMS_PER_ZONE);
        assertTrue(followers.size() >= ZoneDelegates.MINIMUM_VMS);
    }

    private void startFollowers(int zones, int vmsPerZone) throws InterruptedException {
        for (int index = 0; index < zones * vmsPerZone; index++) {
            followers.add(new Follower(new VmId("vm-" + index), new AvailabilityZone("zone-" + index % zones)));
        }
        followers.forEach(follower -> follower.thread.start());
        items.write(PREFIX + "first", new byte[] {1});
        awaitKey(followers, PREFIX + "first");
        Thread.sleep(WAIT.multipliedBy(2));
    }

    /** Returns a VM whose watches went to the store most often. */
    private Follower delegate() {
        return followers.stream()
                .max(Comparator.comparingInt(follower -> follower.direct.get()))
                .orElseThrow();
    }

    private static void awaitKey(List<Follower> expected, String key) throws InterruptedException {
        long deadline = System.nanoTime() + PROPAGATION_LIMIT.toNanos();
        while (System.nanoTime() < deadline && !expected.stream().allMatch(follower -> follower.keys.contains(key))) {
            Thread.sleep(5);
        }
        assertEquals(
                List.of(),
                expected.stream()
                        .filter(follower -> !follower.keys.contains(key))
                        .map(follower -> follower.vm)
                        .toList());
    }

    /** A VM that follows the prefix. */
    private final class Follower {
        private final VmId vm;
        private final Set<String> keys = ConcurrentHashMap.newKeySet();
        private final AtomicInteger direct = new AtomicInteger();
        private final AtomicInteger failures = new AtomicInteger();
        private final AtomicInteger cuts = new AtomicInteger();
        private final CoordinationStore store;
        private final Thread thread = Thread.ofVirtual().unstarted(this::follow);

        Follower(VmId vm, AvailabilityZone zone) {
            this.vm = vm;
            Peer self = new Peer(vm, Incarnation.draw(), zone);
            store = new RelayedStore(
                    new EraCheckedStore(new WaitingStore(this), MonotonicClock.SYSTEM),
                    self,
                    hub.join(self),
                    MonotonicClock.SYSTEM,
                    new MetricRegistry());
        }

        private void follow() {
            Duration wait = WAIT;
            StoreRevision position = StoreRevision.ABSENT;
            boolean listed = false;
            while (!Thread.currentThread().isInterrupted()) {
                try {
                    if (!listed) {
                        CoordinationStore.StoreListing listing = store.list(PREFIX);
                        keys.clear();
                        listing.items().forEach(item -> keys.add(item.key().path()));
                        position = listing.revision();
                        listed = true;
                    }
                    CoordinationStore.StoreChanges changes = store.awaitChanges(PREFIX, position, wait);
                    changes.changes().forEach(change -> keys.add(change.key().path()));
                    position = changes.revision();
                    wait = WAIT;
                } catch (HistoryDiscardedException discarded) {
                    listed = false;
                } catch (StoreException unavailable) {
                    failures.incrementAndGet();
                    wait = Duration.ZERO;
                    sleep();
                }
            }
        }
    }

    private static void sleep() {
        try {
            Thread.sleep(20);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** The store as one VM reaches it; its watches wait for changes. */
    private final class WaitingStore implements CoordinationStore {
        private final Follower follower;

        WaitingStore(Follower follower) {
            this.follower = follower;
        }

        @Override
        public StoreListing list(String prefix) throws StoreException {
            return items.list(prefix);
        }

        @Override
        public StoreChanges awaitChanges(String prefix, StoreRevision after, Duration wait) throws StoreException {
            watches.incrementAndGet();
            follower.direct.incrementAndGet();
            long deadline = System.nanoTime() + wait.toNanos();
            int cutsBefore = cuts.get();
            if (follower.cuts.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
                throw new StoreUnavailableException("the watch of " + follower.vm + " was cut");
            }
            while (true) {
                if (cuts.get() != cutsBefore) {
                    throw new StoreUnavailableException("the watch of " + follower.vm + " was cut");
                }
                if (rejected.contains(follower.vm)) {
                    throw new StoreUnavailableException("the store rejects " + follower.vm);
                }
                StoreChanges changes = items.awaitChanges(prefix, after, wait);
                if (!changes.changes().isEmpty()
                        || System.nanoTime() >= deadline
                        || Thread.currentThread().isInterrupted()) {
                    return changes;
                }
                sleep();
            }
        }

        @Override
        public StoreRevision apply(StoreTransaction transaction) throws StoreException {
            return items.apply(transaction);
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
