package io.banyantally.internal.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.invariant.Promise;
import io.banyantally.model.ExchangeId;
import io.banyantally.model.FencingNumber;
import io.banyantally.model.Incarnation;
import io.banyantally.model.ModelName;
import io.banyantally.model.VmId;
import io.banyantally.testing.FaultRow;
import io.banyantally.upstream.AnswerChunk;
import io.banyantally.upstream.AnswerStream;
import io.banyantally.upstream.AnswerTruncatedException;
import io.banyantally.upstream.EngineOrder;
import io.banyantally.upstream.EngineRole;
import io.banyantally.upstream.EngineTarget;
import io.banyantally.upstream.GenerationRequest;
import io.banyantally.upstream.NotSentException;
import io.banyantally.upstream.StaleFencingNumberException;
import io.banyantally.upstream.UpstreamException;
import io.banyantally.upstream.UpstreamRefusedException;
import io.banyantally.upstream.WrongAnswerException;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against truncated responses and chunks of other exchanges that reach a caller, and against orders that are
 * sent without permission or twice.
 */
final class HttpEngineTest {

    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(20);
    private static final String EXCHANGE = "quito-n-1/a/7";
    private static final GenerationRequest REQUEST = new GenerationRequest(
            new ExchangeId(new VmId("quito-n-1"), new Incarnation(10), 7),
            new ModelName("m"),
            Optional.empty(),
            "prompt",
            8,
            0,
            "",
            0);
    private static final EngineOrder ORDER = new EngineOrder(
            new FencingNumber(3), 1, new EngineTarget(new ModelName("m"), "1", List.of(), EngineRole.PREFILL));
    private static final String STREAM_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final AdapterHttpClient client = AdapterHttpClient.start();

    @AfterEach
    void closeClient() {
        client.close();
    }

    private HttpEngine engine(ScriptedServer server) {
        return new HttpEngine(client, server.address(), LONG_TIMEOUT);
    }

    private static String line(String exchange, int index, boolean last) {
        return "{\"exchange\":\"" + exchange + "\",\"index\":" + index + ",\"text\":\"t\",\"last\":" + last
                + ",\"promptTokens\":0,\"cachedTokens\":0}\n";
    }

    private static String stream(String... lines) {
        return STREAM_HEAD + chunks(lines) + "0\r\n\r\n";
    }

    private static String chunks(String... lines) {
        StringBuilder text = new StringBuilder();
        for (String line : lines) {
            text.append(Integer.toHexString(line.length()))
                    .append("\r\n")
                    .append(line)
                    .append("\r\n");
        }
        return text.toString();
    }

    private static void readToEnd(HttpEngine engine) throws UpstreamException, InterruptedException {
        try (AnswerStream answer = engine.generate(REQUEST)) {
            AnswerChunk chunk = answer.next();
            while (!chunk.last()) {
                chunk = answer.next();
            }
        }
    }

    /** Guards against "not run" for a request that runs, after the copy of an earlier refusal on its connection. */
    @Test
    void repeatedRefusalIsNotTakenForTheAnswerToTheNextRequest() throws Exception {
        Set<Socket> refusedOn = ConcurrentHashMap.newKeySet();
        try (ScriptedServer server = ScriptedServer.start((request, socket, output) -> {
            String repeated = refusedOn.contains(socket) ? ScriptedServer.status(503) : "";
            boolean generation = request.contains("/generate");
            if (!generation) {
                refusedOn.add(socket);
            }
            String own = generation ? stream(line(EXCHANGE, 0, true)) : ScriptedServer.status(503);
            output.write((repeated + own).getBytes(StandardCharsets.UTF_8));
            output.flush();
            return true;
        })) {
            HttpEngine engine = engine(server);
            assertThrows(UpstreamRefusedException.class, engine::loadReport);

            readToEnd(engine);

            assertEquals(2, server.requests().size());
        }
    }

    private <T extends Exception> void assertResponseFails(String response, Class<T> expected) throws IOException {
        try (ScriptedServer server = ScriptedServer.start((request, socket, output) -> {
            output.write(response.getBytes(StandardCharsets.UTF_8));
            return false;
        })) {
            assertThrows(expected, () -> readToEnd(engine(server)));
            assertEquals(
                    1,
                    server.requests().stream()
                            .filter(request -> request.contains("/generate"))
                            .count());
        }
    }

    @ParameterizedTest
    @EnumSource
    @FaultRow(promise = Promise.COMPLETE_OWN_ANSWER, step = "start of a response", fault = "no complete response")
    void generationWithoutCompleteResponseIsTruncatedAndNotRetried(WireFault fault) throws IOException {
        try (ScriptedServer server = fault.server()) {
            HttpEngine engine = new HttpEngine(client, server.address(), fault.timeLimit());
            assertThrows(AnswerTruncatedException.class, () -> readToEnd(engine));
            assertEquals(
                    1,
                    server.requests().stream()
                            .filter(request -> request.contains("/generate"))
                            .count());
        }
    }

    @Test
    @FaultRow(promise = Promise.TRUE_NOT_RUN, step = "start of a generation", fault = "connection refused")
    void refusedConnectionMeansNotSent() throws IOException {
        HttpEngine engine = new HttpEngine(client, ScriptedServer.refusingAddress());
        assertThrows(NotSentException.class, () -> engine.generate(REQUEST));
        assertThrows(NotSentException.class, () -> engine.apply(ORDER, () -> true));
    }

    @Test
    @FaultRow(promise = Promise.COMPLETE_OWN_ANSWER, step = "middle of a response", fault = "connection closed")
    void streamClosedInTheMiddleIsTruncated() throws IOException {
        assertResponseFails(
                STREAM_HEAD + chunks(line(EXCHANGE, 0, false), line(EXCHANGE, 1, false)),
                AnswerTruncatedException.class);
    }

    @Test
    @FaultRow(promise = Promise.COMPLETE_OWN_ANSWER, step = "end of a response", fault = "last chunk missing")
    void streamWithoutLastChunkIsTruncated() throws IOException {
        assertResponseFails(stream(line(EXCHANGE, 0, false), line(EXCHANGE, 1, false)), AnswerTruncatedException.class);
    }

    @Test
    @FaultRow(promise = Promise.COMPLETE_OWN_ANSWER, step = "middle of a response", fault = "chunk of another exchange")
    void chunkOfAnotherExchangeIsRejected() throws IOException {
        assertResponseFails(
                stream(line(EXCHANGE, 0, false), line("quito-n-1/a/8", 1, false), line(EXCHANGE, 2, true)),
                WrongAnswerException.class);
        assertResponseFails(stream(line("quito-n-1/b/7", 0, true)), WrongAnswerException.class);
    }

    @Test
    @FaultRow(
            promise = Promise.COMPLETE_OWN_ANSWER,
            step = "middle of a response",
            fault = "gap or repetition of the index")
    void gapOrRepetitionOfIndexIsRejected() throws IOException {
        assertResponseFails(stream(line(EXCHANGE, 0, false), line(EXCHANGE, 2, true)), WrongAnswerException.class);
        assertResponseFails(stream(line(EXCHANGE, 0, false), line(EXCHANGE, 0, true)), WrongAnswerException.class);
        assertResponseFails(stream(line(EXCHANGE, 1, true)), WrongAnswerException.class);
    }

    @Test
    void lineThatIsNotAChunkIsRejected() throws IOException {
        assertResponseFails(stream("{\"exchange\":\n"), WrongAnswerException.class);
        assertResponseFails(stream("{\"exchange\":\"" + EXCHANGE + "\"}\n"), WrongAnswerException.class);
        assertResponseFails(stream("\n"), WrongAnswerException.class);
    }

    @Test
    void overlongLineIsTruncated() throws IOException {
        assertResponseFails(stream("x".repeat(100_000)), AnswerTruncatedException.class);
    }

    @Test
    void errorStatusesHaveOwnExceptionTypes() throws IOException {
        assertResponseFails(ScriptedServer.status(503), UpstreamRefusedException.class);
        assertResponseFails(ScriptedServer.status(500), AnswerTruncatedException.class);
    }

    @Test
    @FaultRow(
            promise = Promise.COMPLETE_OWN_ANSWER,
            step = "next response on a connection",
            fault = "rest of a response")
    void restOfAbandonedResponseDoesNotReachNextExchange() throws Exception {
        try (ScriptedServer server = ScriptedServer.start((request, socket, output) -> {
            output.write(
                    stream(line(EXCHANGE, 0, false), line(EXCHANGE, 1, true)).getBytes(StandardCharsets.UTF_8));
            return true;
        })) {
            HttpEngine engine = engine(server);
            try (AnswerStream answer = engine.generate(REQUEST)) {
                assertEquals(0, answer.next().index());
            }
            readToEnd(engine);
            assertTrue(server.connections() >= 2, "the abandoned connection is not used again");
        }
    }

    @Test
    @FaultRow(
            promise = Promise.AT_MOST_ONCE,
            step = "start of a generation",
            fault = "connection closed without a response")
    void generationOnClosedConnectionIsNotRetried() throws Exception {
        AtomicLong generations = new AtomicLong();
        try (ScriptedServer server = ScriptedServer.start((request, socket, output) -> {
            if (generations.incrementAndGet() == 1) {
                output.write(stream(line(EXCHANGE, 0, true)).getBytes(StandardCharsets.UTF_8));
                return true;
            }
            return false;
        })) {
            HttpEngine engine = engine(server);
            readToEnd(engine);
            assertThrows(AnswerTruncatedException.class, () -> readToEnd(engine));
            assertEquals(2, generations.get());
            assertEquals(2, server.connections(), "each generation has a connection of its own");
        }
    }

    @Test
    void closingBeforeTheEndCancelsOnTheEngine() throws Exception {
        CountDownLatch cancelled = new CountDownLatch(1);
        try (ScriptedServer server = ScriptedServer.start((request, socket, output) -> {
            if (request.startsWith("POST /cancel")) {
                cancelled.countDown();
            }
            output.write((STREAM_HEAD + chunks(line(EXCHANGE, 0, false))).getBytes(StandardCharsets.UTF_8));
            return true;
        })) {
            try (AnswerStream answer = engine(server).generate(REQUEST)) {
                answer.next();
            }
            assertTrue(cancelled.await(10, TimeUnit.SECONDS));
        }
    }

    @Test
    void slowReaderBlocksTheSender() throws Exception {
        long limit = 256L << 20;
        AtomicLong written = new AtomicLong();
        byte[] block = chunks(line(EXCHANGE, 0, false).repeat(100)).getBytes(StandardCharsets.UTF_8);
        try (ScriptedServer server = ScriptedServer.start((request, socket, output) -> {
            output.write(STREAM_HEAD.getBytes(StandardCharsets.UTF_8));
            while (written.get() < limit) {
                output.write(block);
                written.addAndGet(block.length);
            }
            return false;
        })) {
            HttpEngine engine = new HttpEngine(client, server.address());
            try (AnswerStream answer = engine.generate(REQUEST)) {
                answer.next();
                long before = -1;
                while (before != written.get()) {
                    before = written.get();
                    Thread.sleep(300);
                }
                assertTrue(before < limit / 4, "the server could send " + before + " bytes without a reader");
            }
        }
    }

    @Test
    @FaultRow(promise = Promise.STALE_AUTHORITY_HARMLESS, step = "order", fault = "permission lost before the send")
    void orderWithoutPermissionIsNotSent() throws Exception {
        try (ScriptedServer server = ScriptedServer.respondingWith(ScriptedServer.ok("{}"))) {
            assertThrows(NotSentException.class, () -> engine(server).apply(ORDER, () -> false));
            engine(server).apply(ORDER, () -> server.connections() == 2);
            assertEquals(1, server.requests().size());
        }
    }

    @Test
    void staleFencingNumberHasOwnExceptionType() throws IOException {
        try (ScriptedServer server = ScriptedServer.respondingWith(ScriptedServer.status(409))) {
            assertThrows(StaleFencingNumberException.class, () -> engine(server).apply(ORDER, () -> true));
        }
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "SILENCE")
    @FaultRow(promise = Promise.NO_CONFLICTING_ORDERS, step = "order", fault = "no complete response")
    void orderWithoutCompleteResponseHasUnknownOutcomeAndIsNotRetried(WireFault fault) throws IOException {
        try (ScriptedServer server = fault.server()) {
            assertThrows(AnswerTruncatedException.class, () -> engine(server).apply(ORDER, () -> true));
            assertEquals(1, server.requests().size());
        }
    }
}
