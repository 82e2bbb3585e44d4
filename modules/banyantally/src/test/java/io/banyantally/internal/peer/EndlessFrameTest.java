package io.banyantally.internal.peer;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against peers that hold connections, tasks or memory without a limit by sending slow or endless frames. */
@Timeout(30)
final class EndlessFrameTest {

    /** The time limit of a frame, plus one second for a busy machine. */
    private static final Duration FRAME_TIME_LIMIT = Duration.ofSeconds(3);

    private static final int BYTE_INTERVAL_MILLIS = 50;
    private static final int REQUEST_COUNT = 3000;
    private static final int MAXIMUM_CONCURRENT_REQUESTS = 1024;
    private static final Topic BLOCKED = new Topic("test.blocked");

    private final AtomicInteger running = new AtomicInteger();
    private TcpPeerNetwork network;

    @BeforeEach
    void start() throws IOException {
        network = new TcpPeerNetwork(peer("vm"), "site", loopback(0), MonotonicClock.SYSTEM);
        network.handle(BLOCKED, (sender, payload) -> {
            running.incrementAndGet();
            try {
                Thread.sleep(FRAME_TIME_LIMIT);
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
            return payload;
        });
        network.start();
    }

    @AfterEach
    void stop() throws IOException {
        network.close();
    }

    /** Guards against a peer that keeps a connection open by sending its first frame byte by byte. */
    @Test
    void slowFirstFrameIsClosedByTheTimeLimit() throws Exception {
        try (Socket socket = connect()) {
            assertClosedDuringSlowFrame(socket);
        }
    }

    /** Guards against a peer that keeps a connection open by sending a later frame byte by byte. */
    @Test
    void slowLaterFrameIsClosedByTheTimeLimit() throws Exception {
        try (Socket socket = connect()) {
            sendHello(socket);
            assertClosedDuringSlowFrame(socket);
        }
    }

    /** Guards against a connection on which bytes that are no frames are read without a limit. */
    @Test
    void bytesThatAreNoFramesCloseTheConnection() throws Exception {
        try (Socket socket = connect()) {
            byte[] invalidFrames = new byte[64 * 1024];
            Arrays.fill(invalidFrames, (byte) 'x');

            assertThrows(IOException.class, () -> writeUntilFrameTimeLimit(socket, invalidFrames));
        }
    }

    /** Guards against unlimited requests of one peer that each take a task and memory while their handlers block. */
    @Test
    void concurrentRequestsOfOnePeerAreLimited() throws Exception {
        try (Socket socket = connect()) {
            sendHello(socket);
            DataOutputStream output = new DataOutputStream(socket.getOutputStream());
            Thread.ofVirtual().start(() -> sendRequests(output));
            Thread.sleep(FRAME_TIME_LIMIT.toMillis() / 2);

            assertTrue(
                    running.get() > 0 && running.get() <= MAXIMUM_CONCURRENT_REQUESTS,
                    running + " requests run concurrently");
        }
    }

    private static void writeUntilFrameTimeLimit(Socket socket, byte[] bytes) throws IOException {
        long end = System.nanoTime() + FRAME_TIME_LIMIT.toNanos();
        while (System.nanoTime() < end) {
            socket.getOutputStream().write(bytes);
        }
    }

    private static void sendRequests(DataOutputStream output) {
        try {
            for (int requestId = 1; requestId <= REQUEST_COUNT; requestId++) {
                FrameCodec.write(output, new Frame(FrameKind.REQUEST, requestId, BLOCKED.name(), new byte[10]));
            }
        } catch (IOException closed) {
            // The test has ended.
        }
    }

    private static void sendHello(Socket socket) throws IOException {
        DataOutputStream output = new DataOutputStream(socket.getOutputStream());
        byte[] hello = HelloMessage.CODEC.encode(HelloMessage.of(peer("other"), "site"));
        FrameCodec.write(output, new Frame(FrameKind.HELLO, 0, "", hello));
        output.flush();
    }

    private static void assertClosedDuringSlowFrame(Socket socket) throws Exception {
        long startNanos = System.nanoTime();
        DataOutputStream output = new DataOutputStream(socket.getOutputStream());
        output.writeInt(PeerNetwork.MAXIMUM_PAYLOAD_BYTES);
        assertThrows(
                IOException.class,
                () -> {
                    while (System.nanoTime() - startNanos < FRAME_TIME_LIMIT.toNanos()) {
                        output.write(0);
                        Thread.sleep(BYTE_INTERVAL_MILLIS);
                    }
                },
                () -> "open after " + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos) + " ms");
    }

    private Socket connect() throws IOException {
        return new Socket(InetAddress.getLoopbackAddress(), network.port());
    }

    private static Peer peer(String name) {
        return new Peer(new VmId(name), Incarnation.draw(), new AvailabilityZone("zone"));
    }

    private static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }
}
