package io.banyantally.internal.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.upstream.SendPermission;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a call that takes effect after its sender has lost the permission. Uses real sockets on loopback. */
final class CallWithPermissionTest {

    private static final Duration TIME_LIMIT = Duration.ofMillis(700);

    /** More than the receiver takes without reading, and less than the sender's buffers hold. */
    private static final int BODY_BYTES = 512 * 1024;

    private static final int RECEIVE_BUFFER_BYTES = 4096;
    private static final byte[] RESPONSE =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}".getBytes(StandardCharsets.US_ASCII);

    private final AdapterHttpClient client = AdapterHttpClient.start();
    private ServerSocket receiver;

    @BeforeEach
    void listen() throws IOException {
        receiver = new ServerSocket();
        receiver.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        receiver.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        receiver.setSoTimeout(5000);
    }

    @AfterEach
    void close() throws IOException {
        receiver.close();
        client.close();
    }

    /** Guards against bytes that the network delays past the time limit and then delivers whole. */
    @Test
    void bytesOfAnAbandonedCallAreNotDeliveredLater() throws Exception {
        assertThrows(ExchangeException.class, () -> client.send(call(BODY_BYTES, () -> true), 1024));

        try (Socket accepted = receiver.accept()) {
            long startedAt = System.nanoTime();
            int received = 0;
            String end = "none";
            byte[] buffer = new byte[8192];
            accepted.setSoTimeout(5000);
            try {
                for (int count = 0;
                        count >= 0;
                        count = accepted.getInputStream().read(buffer)) {
                    received += count;
                }
                end = "orderly";
            } catch (IOException reset) {
                end = "reset";
            }
            assertEquals("reset", end, received + " bytes received");
            assertTrue(received < BODY_BYTES, "the whole call was delivered after its time limit");
            assertTrue(System.nanoTime() - startedAt < TimeUnit.SECONDS.toNanos(4), "the connection ended late");
        }
    }

    /** Guards against a receiver that takes the bytes before the reset for a complete call. */
    @Test
    void abandonedCallIsResetWithoutAnEndOfItsOutput() throws Exception {
        CompletableFuture<String> end = CompletableFuture.supplyAsync(this::readToTheEnd);

        assertThrows(ExchangeException.class, () -> client.send(call(16, () -> true), 1024));

        assertEquals("reset", end.get(5, TimeUnit.SECONDS));
    }

    private String readToTheEnd() {
        try (Socket accepted = receiver.accept()) {
            accepted.setSoTimeout(5000);
            byte[] buffer = new byte[8192];
            int count = 0;
            while (count >= 0) {
                count = accepted.getInputStream().read(buffer);
            }
            return "orderly";
        } catch (SocketTimeoutException none) {
            return "none";
        } catch (IOException reset) {
            return "reset";
        }
    }

    /** Guards against a reset of a call that was answered, which could discard its response on the way. */
    @Test
    void connectionOfACompletedCallIsClosedInOrder() throws Exception {
        CompletableFuture<Integer> end = CompletableFuture.supplyAsync(this::answerAndReadToTheEnd);

        HttpReply reply = client.send(call(16, () -> true), 1024);

        assertEquals(200, reply.status());
        assertEquals(-1, end.get(5, TimeUnit.SECONDS));
    }

    private int answerAndReadToTheEnd() {
        try (Socket accepted = receiver.accept()) {
            byte[] buffer = new byte[8192];
            String read = "";
            while (!read.endsWith("aaaaaaaaaaaaaaaa")) {
                int count = accepted.getInputStream().read(buffer);
                read += new String(buffer, 0, count, StandardCharsets.US_ASCII);
            }
            accepted.getOutputStream().write(RESPONSE);
            return accepted.getInputStream().read();
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
    }

    /** Guards against a permission that is asked before the connection is open. */
    @Test
    void permissionIsAskedWhenTheConnectionIsOpenAndNothingIsSent() throws Exception {
        CompletableFuture<Integer> available = new CompletableFuture<>();
        SendPermission permission = () -> {
            try (Socket accepted = receiver.accept()) {
                available.complete(accepted.getInputStream().available());
            } catch (IOException failure) {
                available.completeExceptionally(failure);
            }
            return false;
        };

        assertThrows(NothingSentException.class, () -> client.send(call(16, permission), 1024));

        assertEquals(0, available.get(5, TimeUnit.SECONDS));
    }

    /** Guards against a request to an upstream that has left while the request waited for a pooled connection. */
    @Test
    void permissionIsAlsoAskedOnAPooledConnection() throws Exception {
        InetSocketAddress address = new InetSocketAddress(receiver.getInetAddress(), receiver.getLocalPort());
        HttpCall denied = new HttpCall(address, "GET", "/", List.of(), new byte[0], false, TIME_LIMIT, () -> false);

        assertThrows(NothingSentException.class, () -> client.send(denied, 1024));

        try (Socket accepted = receiver.accept()) {
            accepted.setSoTimeout(5000);
            assertEquals(-1, accepted.getInputStream().read());
        }
    }

    /** Guards against a call that is sent although its sender stood still past the time limit after the check. */
    @Test
    void callIsNotSentAfterItsTimeLimit() throws Exception {
        SendPermission slow = () -> {
            try {
                Thread.sleep(TIME_LIMIT.toMillis() + 100);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
            return true;
        };

        assertThrows(NothingSentException.class, () -> client.send(call(16, slow), 1024));

        try (Socket accepted = receiver.accept()) {
            accepted.setSoTimeout(5000);
            assertEquals(-1, accepted.getInputStream().read());
        }
    }

    private HttpCall call(int bodyBytes, SendPermission permission) {
        InetSocketAddress address = new InetSocketAddress(receiver.getInetAddress(), receiver.getLocalPort());
        byte[] body = "a".repeat(bodyBytes).getBytes(StandardCharsets.US_ASCII);
        return new HttpCall(address, "POST", "/usage", List.of(), body, false, TIME_LIMIT, () -> true)
                .withPermission(permission);
    }
}
