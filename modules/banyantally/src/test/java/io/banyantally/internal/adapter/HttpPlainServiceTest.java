package io.banyantally.internal.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.invariant.Promise;
import io.banyantally.model.ExchangeId;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import io.banyantally.testing.FaultRow;
import io.banyantally.upstream.AnswerTruncatedException;
import io.banyantally.upstream.HeaderField;
import io.banyantally.upstream.NotSentException;
import io.banyantally.upstream.ServiceAnswer;
import io.banyantally.upstream.ServiceCall;
import io.banyantally.upstream.WrongAnswerException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against retries of requests that are not idempotent, and against responses to other requests. */
final class HttpPlainServiceTest {

    private static final ServiceCall CALL = new ServiceCall(
            new ExchangeId(new VmId("sfax-port-2"), new Incarnation(11), 5),
            "POST",
            "/packs/orders?lane=a%20b",
            List.of(
                    new HeaderField("Authorization", "Bearer secret-key"),
                    new HeaderField("Cookie", "session=secret-cookie"),
                    new HeaderField("Order-Id", "order-1")),
            "{}".getBytes(StandardCharsets.UTF_8));
    private static final String EXCHANGE_HEADER = "Exchange-Id: sfax-port-2/b/5\r\n";

    private final AdapterHttpClient client = AdapterHttpClient.start();

    @AfterEach
    void closeClient() {
        client.close();
    }

    private HttpPlainService service(ScriptedServer server) {
        return new HttpPlainService(client, server.address(), Duration.ofSeconds(20));
    }

    private static String response(String status, String headers, String body) {
        return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "SERVER_ERROR")
    @FaultRow(promise = Promise.AT_MOST_ONCE, step = "request", fault = "no complete response")
    void requestWithoutCompleteResponseIsSentOnce(WireFault fault) throws IOException {
        try (ScriptedServer server = fault.server()) {
            HttpPlainService service = new HttpPlainService(client, server.address(), fault.timeLimit());
            assertThrows(AnswerTruncatedException.class, () -> service.call(CALL));
            assertEquals(1, server.requests().size());
        }
    }

    @Test
    @FaultRow(promise = Promise.TRUE_NOT_RUN, step = "request", fault = "connection refused")
    void refusedConnectionMeansNotSent() throws IOException {
        HttpPlainService service = new HttpPlainService(client, ScriptedServer.refusingAddress());
        assertThrows(NotSentException.class, () -> service.call(CALL));
    }

    @ParameterizedTest
    @ValueSource(strings = {"307 Temporary Redirect", "301 Moved", "401 Unauthorized", "408 Timeout", "503 Busy"})
    @FaultRow(promise = Promise.AT_MOST_ONCE, step = "request", fault = "response that suggests a retry")
    void responseThatSuggestsARetryIsReturned(String status) throws Exception {
        String headers =
                EXCHANGE_HEADER + "Location: /packs/orders\r\nWWW-Authenticate: Basic realm=a\r\nRetry-After: 0\r\n";
        try (ScriptedServer server = ScriptedServer.respondingWith(response(status, headers, "no"))) {
            ServiceAnswer response = service(server).call(CALL);
            assertEquals(Integer.parseInt(status.substring(0, 3)), response.status());
            assertEquals(1, server.requests().size());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "Exchange-Id: sfax-port-2/b/6\r\n", "Exchange-Id: sfax-port-2/c/5\r\n"})
    @FaultRow(
            promise = Promise.COMPLETE_OWN_ANSWER,
            step = "response to a request",
            fault = "response to another request")
    void responseToAnotherRequestIsRejected(String header) throws IOException {
        try (ScriptedServer server = ScriptedServer.respondingWith(response("200 OK", header, "ok"))) {
            assertThrows(WrongAnswerException.class, () -> service(server).call(CALL));
        }
    }

    @Test
    void eachRequestOpensItsOwnConnection() throws Exception {
        try (ScriptedServer server = ScriptedServer.respondingWith(response("200 OK", EXCHANGE_HEADER, "ok"))) {
            service(server).call(CALL);
            service(server).call(CALL);
            assertEquals(2, server.connections());
        }
    }

    @Test
    @FaultRow(promise = Promise.TENANT_ISOLATION, step = "request", fault = "caller's key among the headers")
    void headersThatCarryKeysAreNotForwarded() throws Exception {
        try (ScriptedServer server =
                ScriptedServer.respondingWith(response("200 OK", EXCHANGE_HEADER + "Lane: a\r\n", "ok"))) {
            ServiceAnswer response = service(server).call(CALL);
            String request = server.requests().getFirst();
            assertFalse(request.contains("secret"), request);
            assertTrue(request.startsWith("POST /packs/orders?lane=a%20b HTTP/1.1"), request);
            assertTrue(request.contains("Order-Id: order-1"), request);
            assertTrue(response.headers().contains(new HeaderField("Lane", "a")));
        }
    }

    @Test
    void overlongResponseIsTruncated() throws IOException {
        try (ScriptedServer server =
                ScriptedServer.respondingWith(response("200 OK", EXCHANGE_HEADER, "x".repeat(5 << 20)))) {
            assertThrows(AnswerTruncatedException.class, () -> service(server).call(CALL));
            assertEquals(1, server.requests().size());
        }
    }
}
