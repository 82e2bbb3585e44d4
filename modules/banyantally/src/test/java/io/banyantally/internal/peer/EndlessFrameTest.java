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

/** Peers whose frames have no end. */
@Timeout(30)
final class EndlessFrameTest {

    /** The time limit of a frame, with a second for a busy machine. */
    private static final Duration FRAME_TIME = Duration.ofSeconds(3);

    private static final int SLOW_PAUSE_MILLIS = 50;
    private static final int FLOOD_REQUESTS = 3000;
    private static final int MOST_AT_ONCE = 1024;
    private static final Topic BLOCKED = new Topic("test.blocked");

    private final AtomicInteger running = new AtomicInteger();
    private TcpPeerNetwork network;

    @BeforeEach
    void start() throws IOException {
        network = new TcpPeerNetwork(peer("vm"), "site", loopback(0), MonotonicClock.SYSTEM);
        network.handle(BLOCKED, (sender, payload) -> {
            running.incrementAndGet();
            try {
                Thread.sleep(FRAME_TIME);
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

    /** Guards against a connection that a first frame keeps open for good by coming byte by byte. */
    @Test
    void slowFirstFrameIsClosedByTheTimeLimit() throws Exception {
        try (Socket socket = connect()) {
            assertClosedWhileDripping(socket);
        }
    }

    /** Guards against a connection that a later frame keeps open for good by coming byte by byte. */
    @Test
    void slowLaterFrameIsClosedByTheTimeLimit() throws Exception {
        try (Socket socket = connect()) {
            introduce(socket);
            assertClosedWhileDripping(socket);
        }
    }

    /** Guards against bytes that are no frames and are read without end. */
    @Test
    void bytesThatAreNoFramesCloseTheConnection() throws Exception {
        try (Socket socket = connect()) {
            byte[] noFrames = new byte[64 * 1024];
            Arrays.fill(noFrames, (byte) 'x');

            assertThrows(IOException.class, () -> writeForFrameTime(socket, noFrames));
        }
    }

    /** Guards against requests without end that each take a task and memory while their handlers wait. */
    @Test
    void requestsOfOnePeerThatRunTogetherAreLimited() throws Exception {
        try (Socket socket = connect()) {
            introduce(socket);
            DataOutputStream output = new DataOutputStream(socket.getOutputStream());
            Thread.ofVirtual().start(() -> flood(output));
            Thread.sleep(FRAME_TIME.toMillis() / 2);

            assertTrue(running.get() > 0 && running.get() <= MOST_AT_ONCE, running + " requests run together");
        }
    }

    private static void writeForFrameTime(Socket socket, byte[] bytes) throws IOException {
        long end = System.nanoTime() + FRAME_TIME.toNanos();
        while (System.nanoTime() < end) {
            socket.getOutputStream().write(bytes);
        }
    }

    private static void flood(DataOutputStream output) {
        try {
            for (int exchange = 1; exchange <= FLOOD_REQUESTS; exchange++) {
                FrameCodec.write(output, new Frame(FrameKind.REQUEST, exchange, BLOCKED.name(), new byte[10]));
            }
        } catch (IOException closed) {
            // The test has ended.
        }
    }

    private static void introduce(Socket socket) throws IOException {
        DataOutputStream output = new DataOutputStream(socket.getOutputStream());
        byte[] hello = HelloMessage.CODEC.encode(HelloMessage.of(peer("other"), "site"));
        FrameCodec.write(output, new Frame(FrameKind.HELLO, 0, "", hello));
        output.flush();
    }

    private static void assertClosedWhileDripping(Socket socket) throws Exception {
        long began = System.nanoTime();
        DataOutputStream output = new DataOutputStream(socket.getOutputStream());
        output.writeInt(PeerNetwork.MAXIMUM_PAYLOAD_BYTES);
        assertThrows(
                IOException.class,
                () -> {
                    while (System.nanoTime() - began < FRAME_TIME.toNanos()) {
                        output.write(0);
                        Thread.sleep(SLOW_PAUSE_MILLIS);
                    }
                },
                () -> "open after " + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began) + " ms");
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
