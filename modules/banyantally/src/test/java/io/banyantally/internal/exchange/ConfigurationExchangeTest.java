package io.banyantally.internal.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.internal.deployment.ActiveConfiguration;
import io.banyantally.internal.deployment.ConfigurationHolder;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.peer.PeerRequestHandler;
import io.banyantally.internal.peer.Topic;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreKey;
import io.banyantally.testing.FakeCoordinationStore;
import io.banyantally.testing.FakePeerHub;
import io.banyantally.testing.ManualClock;
import io.banyantally.testing.StoreFeed;
import io.banyantally.testing.VersionReader;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Configurations of VMs whose store has an older one than their peers. */
@Timeout(20)
final class ConfigurationExchangeTest {

    private static final String KEY = "operator/configuration";

    private final ManualClock clock = new ManualClock();
    private final FakeCoordinationStore store = new FakeCoordinationStore(clock);
    private final FakePeerHub hub = new FakePeerHub();

    /** Guards against a withdrawn key that works at a process that starts while the store has an older configuration. */
    @Test
    void olderConfigurationOfTheStoreIsNeverInForceBesideAPeerWithANewerOne() throws StoreException {
        Vm peer = startedVm("vm-1", "7");
        write("3");
        Vm starting = new Vm("vm-2", 1);

        starting.feed.deliver();

        assertEquals(List.of(7L), starting.versions);
        assertEquals(1, peer.sent());
    }

    /** Guards against documents that are sent to every process that starts. */
    @Test
    void documentThatTheStoreHasShownIsNotSent() throws StoreException {
        Vm peer = startedVm("vm-1", "7");
        Vm starting = new Vm("vm-2", 1);

        starting.feed.deliver();

        assertEquals(List.of(7L), starting.versions);
        assertEquals(0, peer.sent());
        assertEquals(Duration.ZERO, starting.waited);
    }

    /** Guards against a process that does not start because it waits for peers. */
    @Test
    void unreachablePeersDelayTheStartByALimitedTime() throws StoreException {
        startedVm("vm-1", "7");
        write("3");
        Vm starting = new Vm("vm-2", 1);
        hub.isolate(starting.id);

        starting.feed.deliver();

        assertEquals(List.of(3L), starting.versions);
        assertTrue(
                starting.waited.compareTo(ConfigurationExchange.START_LIMIT.plusMillis(50)) <= 0,
                starting.waited + " until the start");
    }

    /** Guards against a start that silent peers delay for longer than the limit and one question. */
    @Test
    void silentPeersThatConnectLateDelayTheStartByALimitedTime() throws StoreException {
        write("3");
        for (int index = 0; index < 3; index++) {
            new Vm("vm-" + index, 3);
        }
        Vm starting = new Vm("vm-3", 3);
        starting.connectedAt = ConfigurationExchange.START_LIMIT.minusMillis(50);
        long startedAt = clock.nanoTime();

        starting.feed.deliver();

        Duration passed = clock.since(startedAt);
        assertTrue(passed.compareTo(ConfigurationExchange.START_LIMIT.plusMillis(550)) <= 0, passed + " at the start");
    }

    /** Guards against an older configuration that one process that could reach no peer passes on to the next one. */
    @Test
    void peerThatHasComparedWithNobodyDoesNotVouchForAnOlderConfiguration() throws StoreException {
        startedVm("vm-1", "7");
        startedVm("vm-2", "3");
        for (int index = 3; index < 23; index++) {
            Vm starting = new Vm("vm-" + index, 2);

            starting.feed.deliver();

            assertEquals(List.of(7L), starting.versions, starting.id.value());
        }
    }

    /** Guards against VMs that wait for each other after all of them have failed. */
    @Test
    void fleetWhoseVmsAllStartDoesNotWait() throws StoreException {
        write("3");
        new Vm("vm-1", 2);
        new Vm("vm-2", 2);
        Vm starting = new Vm("vm-3", 2);

        starting.feed.deliver();

        assertEquals(List.of(3L), starting.versions);
        assertEquals(Duration.ZERO, starting.waited);
    }

    /** Guards against a VM without peers that does not start. */
    @Test
    void vmThatIsAloneDoesNotWait() throws StoreException {
        write("3");
        Vm alone = new Vm("vm-1", 0);

        alone.feed.deliver();

        assertEquals(List.of(3L), alone.versions);
        assertEquals(Duration.ZERO, alone.waited);
    }

    /** Guards against a large fleet whose VMs all ask each other when they start together. */
    @Test
    void startingVmAsksFewPeersOfALargeFleet() throws StoreException {
        write("3");
        AtomicInteger questions = new AtomicInteger();
        for (int index = 0; index < 95; index++) {
            new Vm("vm-" + index, 95).countQuestions(questions);
        }
        Vm starting = new Vm("vm-95", 95);

        starting.feed.deliver();

        assertEquals(List.of(3L), starting.versions);
        assertTrue(questions.get() <= ConfigurationExchange.MAXIMUM_STARTING_PEERS, questions + " questions");
    }

    /** Guards against a start that asks all peers again and again for a document that none of them can send. */
    @Test
    void documentThatIsTooLargeIsAskedForAFewTimes() throws StoreException {
        byte[] noise = new byte[1_200_000];
        new Random(1).nextBytes(noise);
        String document = "7 " + Base64.getEncoder().encodeToString(noise);
        AtomicInteger questions = new AtomicInteger();
        for (int index = 0; index < 20; index++) {
            startedVm("vm-" + index, document).countQuestions(questions);
        }
        write("3");
        Vm starting = new Vm("vm-20", 20);

        starting.feed.deliver();

        assertEquals(List.of(3L), starting.versions);
        assertTrue(questions.get() <= 60, questions + " questions");
    }

    /** Guards against a VM that keeps the older configuration because its peers connected too late. */
    @Test
    void newerVersionThatIsHeardOfLaterIsFetched() throws StoreException {
        Vm peer = startedVm("vm-1", "7");
        Vm behind = startedVm("vm-2", "3");

        behind.exchange.recordHeard(peer.id, 7);
        clock.advance(ConfigurationExchange.STORE_TIME.multipliedBy(2));
        behind.exchange.fetchNewer();

        assertEquals(List.of(3L, 7L), behind.versions);
    }

    /** Guards against the older configuration at a process whose peers were listed after it had started. */
    @Test
    void newerVersionIsFetchedAtOnceIfNoPeerWasThereAtTheStart() throws StoreException {
        Vm peer = startedVm("vm-1", "7");
        Vm behind = startedVm("vm-2", "3");

        behind.exchange.recordHeard(peer.id, 7);
        behind.exchange.fetchNewer();

        assertEquals(List.of(3L, 7L), behind.versions);
    }

    /** Guards against fetching each change from peers, since the store shows it to all VMs at nearly the same time. */
    @Test
    void newerVersionIsLeftToTheStoreFirst() throws StoreException {
        Vm behind = startedVm("vm-2", "3");
        Vm peer = startedVm("vm-1", "3");
        behind.exchange.recordHeard(peer.id, 4);
        behind.exchange.fetchNewer();
        write("7");
        peer.feed.deliver();

        behind.exchange.recordHeard(peer.id, 7);
        clock.advance(ConfigurationExchange.STORE_TIME.minusMillis(1));
        behind.exchange.fetchNewer();

        assertEquals(List.of(3L), behind.versions);
        assertEquals(0, peer.sent());
    }

    /** Guards against a fetch that is put off by each of many changes. */
    @Test
    void versionsInQuickSuccessionDoNotPostponeTheFetch() throws StoreException {
        Vm behind = startedVm("vm-2", "3");
        Vm peer = startedVm("vm-1", "30");

        for (int version = 4; version <= 30; version++) {
            behind.exchange.recordHeard(peer.id, version);
            clock.advance(Duration.ofMillis(100));
            behind.exchange.fetchNewer();
        }

        assertEquals(List.of(3L, 30L), behind.versions);
    }

    /** Guards against a VM that sends a large document to all VMs of a fleet at once, which delays other messages. */
    @Test
    void largeDocumentIsNotSentToManyVmsAtOnce() throws StoreException {
        byte[] noise = new byte[400_000];
        new Random(1).nextBytes(noise);
        List<Vm> behind = new ArrayList<>();
        for (int index = 0; index < 30; index++) {
            behind.add(startedVm("vm-" + index, "3"));
        }
        Vm peer = startedVm("peer", "7 " + Base64.getEncoder().encodeToString(noise));

        behind.forEach(vm -> vm.exchange.recordHeard(peer.id, 7));
        clock.advance(ConfigurationExchange.STORE_TIME.multipliedBy(2));
        behind.forEach(vm -> vm.exchange.fetchNewer());
        assertTrue(peer.sent() <= 1, peer.sent() + " documents");

        for (int round = 0; round < 20; round++) {
            clock.advance(Duration.ofMillis(200));
            behind.forEach(vm -> vm.exchange.recordHeard(peer.id, 7));
            behind.forEach(vm -> vm.exchange.fetchNewer());
        }
        assertEquals(
                List.of(),
                behind.stream()
                        .filter(vm -> vm.versions.getLast() != 7)
                        .map(vm -> vm.id)
                        .toList());
    }

    /** Guards against a store without a readable configuration, whose peers have one. */
    @Test
    void unreadableConfigurationOfTheStoreIsReplacedByThatOfAPeer() throws StoreException {
        startedVm("vm-1", "7");
        write("not a version");
        Vm starting = new Vm("vm-2", 1);

        starting.feed.deliver();

        assertEquals(List.of(7L), starting.versions);
    }

    /** Guards against a document of a peer that sets a VM back. */
    @Test
    void olderDocumentOfAPeerIsIgnored() throws StoreException {
        Vm vm = startedVm("vm-1", "7");

        vm.holder.readFromPeer(new VmId("vm-2"), "3".getBytes(StandardCharsets.UTF_8));
        vm.holder.readFromPeer(new VmId("vm-2"), "not a version".getBytes(StandardCharsets.UTF_8));

        assertEquals(List.of(7L), vm.versions);
        assertFalse(vm.holder.current().isEmpty());
    }

    /** Starts a VM that knows no peers and reads a configuration. */
    private Vm startedVm(String name, String document) throws StoreException {
        write(document);
        Vm vm = new Vm(name, 0);
        vm.feed.deliver();
        return vm;
    }

    private void write(String document) {
        store.write(KEY, document.getBytes(StandardCharsets.UTF_8));
    }

    private final class Vm {
        private final VmId id;
        private final MetricRegistry metrics = new MetricRegistry();
        private final List<Long> versions = new ArrayList<>();
        private final ConfigurationHolder holder = new ConfigurationHolder(new StoreKey(KEY), new VersionReader());
        private final ConfigurationExchange exchange;
        private final StoreFeed feed;
        private Duration waited = Duration.ZERO;
        private AtomicInteger questions = new AtomicInteger();
        private Duration connectedAt = Duration.ZERO;

        Vm(String name, long peers) {
            id = new VmId(name);
            Peer self = new Peer(id, Incarnation.draw(), new AvailabilityZone("zone-a"));
            exchange = new ConfigurationExchange(
                    holder,
                    lateAndSilent(new CountingNetwork(hub.join(self), () -> questions.incrementAndGet())),
                    new FixedPeers(OptionalLong.of(peers)),
                    clock,
                    this::sleep,
                    metrics);
            holder.observe(this::record);
            feed = new StoreFeed(store, KEY, exchange);
        }

        void countQuestions(AtomicInteger counter) {
            questions = counter;
        }

        /** Returns a network that, with a time of connecting, has no peers before it and gets no answers. */
        private PeerNetwork lateAndSilent(PeerNetwork network) {
            long createdAt = clock.nanoTime();
            return new PeerNetwork() {
                @Override
                public void handle(Topic topic, PeerRequestHandler handler) {
                    network.handle(topic, handler);
                }

                @Override
                public byte[] request(VmId peer, Topic topic, byte[] payload, Duration timeout) throws PeerException {
                    if (connectedAt.isZero()) {
                        return network.request(peer, topic, payload, timeout);
                    }
                    clock.advance(timeout);
                    throw new PeerException("no answer");
                }

                @Override
                public List<Peer> peers() {
                    return clock.since(createdAt).compareTo(connectedAt) < 0 ? List.of() : network.peers();
                }
            };
        }

        private void sleep(Duration time) {
            waited = waited.plus(time);
            clock.advance(time);
        }

        private void record(ActiveConfiguration adopted) {
            versions.add(adopted.version());
        }

        long sent() {
            return metrics.counter("configuration_exchange.sent").getCount();
        }
    }
}
