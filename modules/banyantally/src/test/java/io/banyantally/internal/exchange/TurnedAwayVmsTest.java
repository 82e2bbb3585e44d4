package io.banyantally.internal.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.internal.deployment.EraCheckedStore;
import io.banyantally.internal.deployment.PrefixListener;
import io.banyantally.internal.deployment.PrefixWatcher;
import io.banyantally.internal.deployment.StoreHealth;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.time.Sleeper;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import io.banyantally.platform.CoordinationStore;
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
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Small fleets in which the store stops answering some VMs and serves the others, with real waiting times. */
@Timeout(60)
final class TurnedAwayVmsTest {

    private static final String PREFIX = "a/";
    private static final String CHANGE = PREFIX + "change";
    private static final int FLEETS = 150;
    private static final int VMS = 7;
    private static final int TURNED_AWAY = 3;

    /** The longest time after which a request may reach an upstream that has left. */
    private static final Duration DRAIN_LIMIT = Duration.ofSeconds(2);

    /** Added by the platform's client to the time that the store may wait. */
    private static final Duration WATCH_TIMEOUT_MARGIN = Duration.ofMillis(700);

    private final List<Fleet> fleets = new ArrayList<>();

    @AfterEach
    void stop() {
        fleets.forEach(Fleet::stop);
    }

    /**
     * Guards against requests to an upstream that has left, from a VM that the store has turned away and that believes a
     * peer which the store has turned away too.
     */
    @Test
    void changeReachesVmsInTimeThatTheStoreTurnsAwayTogether() throws Exception {
        Random random = new Random(1);
        for (int seed = 0; seed < FLEETS; seed++) {
            fleets.add(new Fleet());
        }
        for (Fleet fleet : fleets) {
            fleet.start();
            Thread.sleep(random.nextInt(20));
        }
        Thread.sleep(PrefixWatcher.SHORT_WATCH);
        for (Fleet fleet : fleets) {
            fleet.turnAway();
            Thread.sleep(random.nextInt(20));
            fleet.change();
        }

        Thread.sleep(DRAIN_LIMIT);

        assertEquals(
                List.of(),
                fleets.stream().flatMap(fleet -> fleet.late().stream()).toList());
    }

    private static void sleepUntil(long deadline) {
        try {
            Thread.sleep(Duration.ofNanos(Math.max(0, deadline - System.nanoTime())));
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    /** VMs that follow the same store. */
    private static final class Fleet {
        private final FakeCoordinationStore items = new FakeCoordinationStore(new ManualClock());
        private final FakePeerHub hub = new FakePeerHub();
        private final Set<VmId> turnedAway = ConcurrentHashMap.newKeySet();

        /** When each VM has learned of the change, in monotonic nanoseconds. */
        private final ConcurrentMap<VmId, Long> learnedAt = new ConcurrentHashMap<>();

        private final List<VmId> vms = IntStream.range(0, VMS)
                .mapToObj(index -> new VmId("vm-" + index))
                .toList();
        private final List<Thread> threads = new ArrayList<>();
        private volatile long changedAt;

        void start() {
            for (VmId vm : vms) {
                Peer self = new Peer(vm, Incarnation.draw(), new AvailabilityZone("zone-a"));
                CoordinationStore store = new RelayedStore(
                        new EraCheckedStore(new ReachedStore(this, vm), MonotonicClock.SYSTEM),
                        self,
                        hub.join(self),
                        MonotonicClock.SYSTEM,
                        new MetricRegistry());
                threads.add(Thread.ofVirtual()
                        .start(new PrefixWatcher(
                                store,
                                PREFIX,
                                PrefixWatcher.SHORT_WATCH,
                                new ChangeListener(this, vm),
                                new StoreHealth(MonotonicClock.SYSTEM),
                                Sleeper.SYSTEM)));
            }
        }

        void turnAway() {
            turnedAway.addAll(vms.subList(0, TURNED_AWAY));
        }

        void change() throws StoreException {
            changedAt = System.nanoTime();
            items.write(CHANGE, new byte[] {1});
        }

        /** Returns the VMs that have not learned of the change in time. */
        List<String> late() {
            return vms.stream()
                    .filter(vm -> learnedAt.getOrDefault(vm, Long.MAX_VALUE) - changedAt > DRAIN_LIMIT.toNanos())
                    .map(vm -> "fleet " + Integer.toHexString(hashCode()) + " " + vm)
                    .toList();
        }

        void stop() {
            threads.forEach(Thread::interrupt);
        }
    }

    /** Records when a VM learns of the change. */
    private record ChangeListener(Fleet fleet, VmId vm) implements PrefixListener {

        @Override
        public void listed(CoordinationStore.StoreListing listing) {
            listing.items().forEach(item -> learn(item.key().path()));
        }

        @Override
        public void changed(CoordinationStore.StoreChanges changes) {
            changes.changes().forEach(change -> learn(change.key().path()));
        }

        private void learn(String key) {
            if (key.equals(CHANGE)) {
                fleet.learnedAt.putIfAbsent(vm, System.nanoTime());
            }
        }

        @Override
        public void caughtUp() {}
    }

    /** The store as one VM reaches it; calls of a VM that is turned away get no answer. */
    private record ReachedStore(Fleet fleet, VmId vm) implements CoordinationStore {

        @Override
        public StoreListing list(String prefix) throws StoreException {
            return fleet.items.list(prefix);
        }

        @Override
        public StoreChanges awaitChanges(String prefix, StoreRevision after, Duration wait) throws StoreException {
            long startedAt = System.nanoTime();
            while (!Thread.currentThread().isInterrupted()) {
                if (fleet.turnedAway.contains(vm)) {
                    sleepUntil(startedAt + wait.plus(WATCH_TIMEOUT_MARGIN).toNanos());
                    throw new StoreUnavailableException("the store does not answer " + vm);
                }
                StoreChanges changes = fleet.items.awaitChanges(prefix, after, wait);
                if (!changes.changes().isEmpty() || System.nanoTime() - startedAt >= wait.toNanos()) {
                    return changes;
                }
                sleepUntil(System.nanoTime() + Duration.ofMillis(5).toNanos());
            }
            throw new StoreUnavailableException("stopped");
        }

        @Override
        public StoreRevision apply(StoreTransaction transaction) throws StoreException {
            return fleet.items.apply(transaction);
        }

        @Override
        public LeaseId grantLease(Duration timeToLive) throws StoreException {
            return fleet.items.grantLease(timeToLive);
        }

        @Override
        public StoreEra renewLease(LeaseId lease) throws StoreException {
            return fleet.items.renewLease(lease);
        }
    }
}
