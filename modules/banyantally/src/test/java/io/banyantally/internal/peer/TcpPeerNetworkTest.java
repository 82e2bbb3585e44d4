package io.banyantally.internal.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against answers that complete the wrong request, and requests that wait for a peer that is gone. */
final class TcpPeerNetworkTest {

    private static final Topic ECHO = new Topic("test.echo");
    private static final Topic SLOW = new Topic("test.slow");
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int REQUESTS = 200;

    /** A loopback address specific to this process, so that no other takes the port between a stop and a restart. */
    private static final InetAddress ADDRESS = loopbackAddressOfThisProcess();

    private final CountDownLatch slowHandlerReleased = new CountDownLatch(1);
    private TcpPeerNetwork first;
    private TcpPeerNetwork second;

    @BeforeEach
    void startBoth() throws IOException {
        first = network("first", "site");
        second = network("second", "site");
        second.handle(ECHO, (sender, payload) -> payload);
        second.handle(SLOW, (sender, payload) -> {
            try {
                slowHandlerReleased.await();
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
            return payload;
        });
        first.setKnownPeers(Map.of(new VmId("second"), addressOf(second)));
    }

    @AfterEach
    void stopBoth() throws IOException {
        slowHandlerReleased.countDown();
        first.close();
        second.close();
    }

    @Test
    void givesEachOfManyConcurrentRequestsItsOwnAnswer() throws Exception {
        awaitPeers(first, 1);
        Thread[] tasks = new Thread[REQUESTS];
        boolean[] matched = new boolean[REQUESTS];
        for (int index = 0; index < REQUESTS; index++) {
            int number = index;
            tasks[index] = Thread.ofVirtual().start(() -> matched[number] = isEchoed("message " + number));
        }
        for (int index = 0; index < REQUESTS; index++) {
            tasks[index].join();
            assertTrue(matched[index], "request " + index);
        }
    }

    @Test
    void reportsFailureOfHandlerToRequester() throws Exception {
        awaitPeers(first, 1);
        PeerException failure = assertThrows(
                PeerException.class,
                () -> first.request(new VmId("second"), new Topic("test.none"), new byte[0], TIMEOUT));
        assertTrue(failure.getMessage().contains("does not handle test.none"), failure.getMessage());
    }

    @Test
    void endsRequestAtItsTimeoutWhenPeerDoesNotAnswer() throws Exception {
        awaitPeers(first, 1);
        assertThrows(
                PeerException.class, () -> first.request(new VmId("second"), SLOW, new byte[0], Duration.ofMillis(50)));
    }

    @Test
    void endsPendingRequestAtOnceWhenConnectionIsLost() throws Exception {
        awaitPeers(first, 1);
        Thread closer = Thread.ofVirtual().start(() -> {
            try {
                Thread.sleep(100);
                second.close();
            } catch (IOException | InterruptedException failure) {
                throw new IllegalStateException(failure);
            }
        });
        long start = System.nanoTime();
        assertThrows(
                PeerException.class,
                () -> first.request(new VmId("second"), SLOW, new byte[0], Duration.ofSeconds(30)));
        assertTrue(System.nanoTime() - start < Duration.ofSeconds(15).toNanos());
        closer.join();
    }

    @Test
    void reconnectsToRestartedPeerAndLearnsItsNewIncarnation() throws Exception {
        awaitPeers(first, 1);
        int port = second.port();
        second.close();
        awaitPeers(first, 0);
        Peer restarted = new Peer(new VmId("second"), new Incarnation(99), new AvailabilityZone("zone"));
        second = new TcpPeerNetwork(restarted, "site", new InetSocketAddress(ADDRESS, port), MonotonicClock.SYSTEM);
        second.start();
        awaitPeers(first, 1);
        assertEquals(new Incarnation(99), first.peers().getFirst().incarnation());
    }

    @Test
    void doesNotConnectToVmOfAnotherSite() throws Exception {
        TcpPeerNetwork other = network("other", "another-site");
        first.setKnownPeers(Map.of(new VmId("other"), addressOf(other)));
        Thread.sleep(300);
        assertEquals(0, first.peers().size());
        other.close();
    }

    private boolean isEchoed(String text) {
        byte[] message = text.getBytes(StandardCharsets.UTF_8);
        try {
            assertArrayEquals(message, first.request(new VmId("second"), ECHO, message, TIMEOUT));
            return true;
        } catch (PeerException failure) {
            return false;
        }
    }

    private static TcpPeerNetwork network(String vm, String site) throws IOException {
        Peer self = new Peer(new VmId(vm), Incarnation.draw(), new AvailabilityZone("zone"));
        TcpPeerNetwork network =
                new TcpPeerNetwork(self, site, new InetSocketAddress(ADDRESS, 0), MonotonicClock.SYSTEM);
        network.start();
        return network;
    }

    private static InetSocketAddress addressOf(TcpPeerNetwork network) {
        return new InetSocketAddress(ADDRESS, network.port());
    }

    private static InetAddress loopbackAddressOfThisProcess() {
        long process = ProcessHandle.current().pid();
        try {
            return InetAddress.getByAddress(new byte[] {127, 77, (byte) (process >> 8), (byte) (process | 1)});
        } catch (UnknownHostException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    private static void awaitPeers(PeerNetwork network, int count) throws InterruptedException {
        long limit = System.nanoTime() + Duration.ofSeconds(20).toNanos();
        while (network.peers().size() != count) {
            assertTrue(System.nanoTime() < limit, "still " + network.peers().size() + " peers");
            Thread.sleep(10);
        }
    }
}
