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

/** Guards the order of connection, check and body with real sockets on loopback. */
final class OrderConnectionTest {

    private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";
    private static final String DONE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    private static final int READ_TIMEOUT_MILLIS = 2_000;
    private static final byte[] ORDER = "role".getBytes(StandardCharsets.US_ASCII);

    @Test
    void anOrderInTimeTakesEffect() throws Exception {
        try (LoopbackReceiver receiver = new LoopbackReceiver(READ_TIMEOUT_MILLIS, CONTINUE, DONE)) {
            assertEquals(
                    200,
                    send(receiver.address(), Duration.ofSeconds(3), () -> true).status());
            assertEquals("role", receiver.outcome());
        }
    }

    @Test
    @FaultRow(promise = Promise.STALE_AUTHORITY_HARMLESS, step = "check", fault = "pause before the body")
    void aSenderPausedBetweenCheckAndBodyFindsTheConnectionClosed() throws Exception {
        try (LoopbackReceiver receiver = new LoopbackReceiver(READ_TIMEOUT_MILLIS, CONTINUE, DONE)) {
            assertThrows(
                    AnswerTruncatedException.class,
                    () -> send(receiver.address(), Duration.ofSeconds(6), () -> pause(READ_TIMEOUT_MILLIS + 500)));
            assertEquals(LoopbackReceiver.CLOSED, receiver.outcome());
        }
    }

    @Test
    @FaultRow(promise = Promise.STALE_AUTHORITY_HARMLESS, step = "send", fault = "cut holds the body back")
    void aBodyHeldBackByACutAndDeliveredLateHasNoEffect() throws Exception {
        try (LoopbackReceiver receiver = new LoopbackReceiver(READ_TIMEOUT_MILLIS, CONTINUE, DONE);
                HoldingRelay relay = new HoldingRelay(receiver.address())) {
            assertThrows(
                    AnswerTruncatedException.class,
                    () -> send(relay.address(), Duration.ofSeconds(3), () -> {
                        relay.hold();
                        return true;
                    }));
            assertEquals(LoopbackReceiver.CLOSED, receiver.outcome());
            relay.restore();
            // The receiver serves one connection after the other, so an order by the late bytes would come first.
            send(receiver.address(), Duration.ofSeconds(3), () -> true);
            assertEquals("role", receiver.outcome());
        }
    }

    @Test
    @FaultRow(promise = Promise.STALE_AUTHORITY_HARMLESS, step = "check", fault = "authority lost")
    void aRefusedPermissionSendsNoOrder() throws Exception {
        try (LoopbackReceiver receiver = new LoopbackReceiver(READ_TIMEOUT_MILLIS, CONTINUE, DONE)) {
            assertThrows(NotSentException.class, () -> send(receiver.address(), Duration.ofSeconds(3), () -> false));
            assertEquals(LoopbackReceiver.CLOSED, receiver.outcome());
        }
    }

    @Test
    void thePermissionIsNotAskedBeforeTheInterimAnswer() throws Exception {
        try (LoopbackReceiver receiver = new LoopbackReceiver(READ_TIMEOUT_MILLIS, "", DONE)) {
            boolean[] asked = {false};
            assertThrows(
                    NotSentException.class,
                    () -> send(receiver.address(), Duration.ofMillis(300), () -> {
                        asked[0] = true;
                        return true;
                    }));
            assertEquals(false, asked[0]);
        }
    }

    @Test
    void aFinalAnswerBeforeTheBodyIsARefusal() throws Exception {
        String refused = "HTTP/1.1 417 Expectation Failed\r\nContent-Length: 0\r\n\r\n";
        try (LoopbackReceiver receiver = new LoopbackReceiver(READ_TIMEOUT_MILLIS, refused, DONE)) {
            assertThrows(
                    UpstreamRefusedException.class, () -> send(receiver.address(), Duration.ofSeconds(3), () -> true));
        }
    }

    @Test
    void aTruncatedAnswerIsNotTakenForAWholeOne() throws Exception {
        String truncated = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok";
        try (LoopbackReceiver receiver = new LoopbackReceiver(READ_TIMEOUT_MILLIS, CONTINUE, truncated)) {
            assertThrows(
                    AnswerTruncatedException.class, () -> send(receiver.address(), Duration.ofSeconds(3), () -> true));
        }
    }

    @Test
    void aConnectionIsUsedOnce() throws Exception {
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

    /** Stands for a pause of the process after the authority was checked. */
    private static boolean pause(int millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        return true;
    }
}
