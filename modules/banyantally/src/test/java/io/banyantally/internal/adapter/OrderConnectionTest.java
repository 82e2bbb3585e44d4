package io.banyantally.internal.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.banyantally.internal.invariant.Promise;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.testing.FaultRow;
import io.banyantally.upstream.AnswerTruncatedException;
import io.banyantally.upstream.NotSentException;
import io.banyantally.upstream.SendPermission;
import io.banyantally.upstream.ServiceAnswer;
import io.banyantally.upstream.UpstreamException;
import io.banyantally.upstream.UpstreamRefusedException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against an order that takes effect after its sender has lost the permission to send it, because the permission
 * was checked too early or the body arrived late. Uses real sockets on loopback.
 */
final class OrderConnectionTest {

    private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";
    private static final String DONE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    private static final int READ_TIMEOUT_MILLIS = 2_000;
    private static final byte[] ORDER = "role".getBytes(StandardCharsets.US_ASCII);

    @Test
    void orderInTimeTakesEffect() throws Exception {
        try (LoopbackReceiver receiver = new LoopbackReceiver(READ_TIMEOUT_MILLIS, CONTINUE, DONE)) {
            assertEquals(
                    200,
                    send(receiver.address(), Duration.ofSeconds(3), () -> true).status());
            assertEquals("role", receiver.outcome());
        }
    }

    @Test
    @FaultRow(promise = Promise.STALE_AUTHORITY_HARMLESS, step = "check", fault = "pause before the body")
    void pauseBetweenCheckAndBodyFailsOnClosedConnection() throws Exception {
        try (LoopbackReceiver receiver = new LoopbackReceiver(READ_TIMEOUT_MILLIS, CONTINUE, DONE)) {
            assertThrows(
                    AnswerTruncatedException.class,
                    () -> send(receiver.address(), Duration.ofSeconds(6), () -> pause(READ_TIMEOUT_MILLIS + 500)));
            assertEquals(LoopbackReceiver.CLOSED, receiver.outcome());
        }
    }

    @Test
    @FaultRow(promise = Promise.STALE_AUTHORITY_HARMLESS, step = "send", fault = "network failure delays the body")
    void bodyDelayedByNetworkFailureHasNoEffect() throws Exception {
        try (LoopbackReceiver receiver = new LoopbackReceiver(READ_TIMEOUT_MILLIS, CONTINUE, DONE);
                PausableProxy proxy = new PausableProxy(receiver.address())) {
            assertThrows(
                    AnswerTruncatedException.class,
                    () -> send(proxy.address(), Duration.ofSeconds(3), () -> {
                        proxy.pause();
                        return true;
                    }));
            assertEquals(LoopbackReceiver.CLOSED, receiver.outcome());
            proxy.resume();
            // The receiver serves its connections in sequence, so an order from the delayed bytes would be its first
            // outcome.
            send(receiver.address(), Duration.ofSeconds(3), () -> true);
            assertEquals("role", receiver.outcome());
        }
    }

    @Test
    @FaultRow(promise = Promise.STALE_AUTHORITY_HARMLESS, step = "check", fault = "permission lost")
    void deniedPermissionSendsNoOrder() throws Exception {
        try (LoopbackReceiver receiver = new LoopbackReceiver(READ_TIMEOUT_MILLIS, CONTINUE, DONE)) {
            assertThrows(NotSentException.class, () -> send(receiver.address(), Duration.ofSeconds(3), () -> false));
            assertEquals(LoopbackReceiver.CLOSED, receiver.outcome());
        }
    }

    @Test
    void permissionIsNotCheckedBeforeInterimResponse() throws Exception {
        try (LoopbackReceiver receiver = new LoopbackReceiver(READ_TIMEOUT_MILLIS, "", DONE)) {
            boolean[] checked = {false};
            assertThrows(
                    NotSentException.class,
                    () -> send(receiver.address(), Duration.ofMillis(300), () -> {
                        checked[0] = true;
                        return true;
                    }));
            assertEquals(false, checked[0]);
        }
    }

    @Test
    void finalResponseBeforeBodyIsRefusal() throws Exception {
        String refused = "HTTP/1.1 417 Expectation Failed\r\nContent-Length: 0\r\n\r\n";
        try (LoopbackReceiver receiver = new LoopbackReceiver(READ_TIMEOUT_MILLIS, refused, DONE)) {
            assertThrows(
                    UpstreamRefusedException.class, () -> send(receiver.address(), Duration.ofSeconds(3), () -> true));
        }
    }

    @Test
    void truncatedResponseFails() throws Exception {
        String truncated = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok";
        try (LoopbackReceiver receiver = new LoopbackReceiver(READ_TIMEOUT_MILLIS, CONTINUE, truncated)) {
            assertThrows(
                    AnswerTruncatedException.class, () -> send(receiver.address(), Duration.ofSeconds(3), () -> true));
        }
    }

    @Test
    void secondSendOnAConnectionFails() throws Exception {
        try (LoopbackReceiver receiver = new LoopbackReceiver(READ_TIMEOUT_MILLIS, CONTINUE, DONE);
                OrderConnection connection =
                        OrderConnection.open(receiver.address(), Duration.ofSeconds(3), MonotonicClock.SYSTEM)) {
            connection.send("PUT", "/order", List.of(), ORDER, () -> true);
            assertThrows(
                    IllegalStateException.class, () -> connection.send("PUT", "/order", List.of(), ORDER, () -> true));
        }
    }

    private static ServiceAnswer send(InetSocketAddress address, Duration limit, SendPermission permission)
            throws UpstreamException {
        try (OrderConnection connection = OrderConnection.open(address, limit, MonotonicClock.SYSTEM)) {
            return connection.send("PUT", "/order", List.of(), ORDER, permission);
        }
    }

    /** Simulates a pause of the process after the permission check. */
    private static boolean pause(int millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        return true;
    }
}
