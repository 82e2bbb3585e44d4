package io.banyantally.internal.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.upstream.AnswerTruncatedException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Responses of any server whose status is none of 200 to 599. Uses real sockets on loopback. */
@Timeout(60)
final class FinalStatusTest {

    private static final Duration TIME_LIMIT = Duration.ofSeconds(20);
    private static final int MAXIMUM_BYTES = 1024;

    private final AdapterHttpClient client = AdapterHttpClient.start();

    @AfterEach
    void closeClient() {
        client.close();
    }

    /** Guards against a call to a store, platform or upstream whose invalid answer states an outcome. */
    @ParameterizedTest
    @ValueSource(strings = {"000", "099", "101", "600", "700", "999"})
    void callWithAnInvalidStatusIsNotAnswered(String status) throws Exception {
        try (ScriptedServer server = ScriptedServer.respondingWith(response(status))) {
            HttpCall read = HttpCall.read(server.address(), "/read", TIME_LIMIT);
            HttpCall write = HttpCall.write(server.address(), "/write", "body", TIME_LIMIT);

            assertThrows(IncompleteResponseException.class, () -> client.send(read, MAXIMUM_BYTES));
            assertThrows(IncompleteResponseException.class, () -> client.send(write, MAXIMUM_BYTES));
            assertEquals(2, server.requests().size());
        }
    }

    /** Guards against an order whose invalid answer is taken for a status, or skipped for a later response. */
    @ParameterizedTest
    @ValueSource(strings = {"000", "099", "101", "600", "700", "999"})
    void orderWithAnInvalidStatusMayHaveRun(String status) throws Exception {
        String done = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        try (ScriptedServer server = ScriptedServer.respondingWith(response(status) + done);
                OrderConnection connection =
                        OrderConnection.open(server.address(), TIME_LIMIT, MonotonicClock.SYSTEM)) {
            assertThrows(
                    AnswerTruncatedException.class,
                    () -> connection.sendWithoutInterimAnswer("POST", "/order", List.of(), new byte[4], () -> true));
        }
    }

    /** Guards against reusing a connection after an invalid response that nobody waits for. */
    @Test
    void connectionIsNotUsedAgainAfterAnInvalidStatus() throws Exception {
        try (ScriptedServer server = ScriptedServer.start((request, socket, output) -> {
            output.write((request.startsWith("DELETE") ? response("600") : ScriptedServer.ok("served"))
                    .getBytes(StandardCharsets.US_ASCII));
            return true;
        })) {
            HttpCall release = new HttpCall(
                    server.address(), "DELETE", "/release", List.of(), new byte[0], false, TIME_LIMIT, () -> true);
            client.sendWithoutAnswer(release);
            while (server.requests().isEmpty()) {
                Thread.sleep(10);
            }
            Thread.sleep(100);
            client.send(HttpCall.read(server.address(), "/read", TIME_LIMIT), MAXIMUM_BYTES);

            assertEquals(2, server.connections());
        }
    }

    private static String response(String status) {
        return "HTTP/1.1 " + status + " Invalid\r\nContent-Length: 4\r\n\r\nnone";
    }
}
