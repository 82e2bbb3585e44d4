package io.banyantally.standins.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.adapter.AdapterHttpClient;
import io.banyantally.internal.adapter.HttpEngine;
import io.banyantally.internal.adapter.WireFormat;
import io.banyantally.internal.invariant.Promise;
import io.banyantally.internal.routing.PrefixHashes;
import io.banyantally.model.ExchangeId;
import io.banyantally.model.FencingNumber;
import io.banyantally.model.Incarnation;
import io.banyantally.model.ModelName;
import io.banyantally.model.VmId;
import io.banyantally.testing.FaultRow;
import io.banyantally.upstream.AnswerChunk;
import io.banyantally.upstream.AnswerStream;
import io.banyantally.upstream.AnswerTruncatedException;
import io.banyantally.upstream.CacheEvent;
import io.banyantally.upstream.EngineOrder;
import io.banyantally.upstream.EngineRole;
import io.banyantally.upstream.EngineTarget;
import io.banyantally.upstream.GenerationRequest;
import io.banyantally.upstream.StaleFencingNumberException;
import io.banyantally.upstream.UpstreamException;
import io.banyantally.upstream.UpstreamRefusedException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against an engine stand-in that misses wrong resumed text, conflicting orders or late order bodies. */
final class EngineStandInTest {

    private static final String PROMPT = "Is the ramp hinge worn? " + ExpectedText.marker(77);
    private static final ModelName MODEL = new ModelName("default-model");

    private final AdapterHttpClient client = AdapterHttpClient.start();
    private final AtomicLong exchanges = new AtomicLong();
    private final EngineOptions options = new EngineOptions();
    private EngineStandIn standIn;
    private HttpEngine engine;

    private void start() throws IOException {
        options.decodeBaseMillis = 1;
        standIn = EngineStandIn.start(0, options, () -> standIn.close());
        engine = new HttpEngine(client, standIn.address());
    }

    @AfterEach
    void stop() {
        client.close();
        standIn.close();
    }

    private GenerationRequest request(int tokens, String resumeText, int firstIndex) {
        ExchangeId exchange = new ExchangeId(new VmId("quito-n-1"), new Incarnation(-1), exchanges.incrementAndGet());
        return new GenerationRequest(exchange, MODEL, Optional.empty(), PROMPT, tokens, 0, resumeText, firstIndex);
    }

    private String read(GenerationRequest request) throws UpstreamException, InterruptedException {
        StringBuilder text = new StringBuilder();
        try (AnswerStream answer = engine.generate(request)) {
            for (AnswerChunk chunk = answer.next(); !chunk.last(); chunk = answer.next()) {
                text.append(chunk.text());
            }
        }
        return text.toString();
    }

    private static EngineOrder order(long fencingNumber, long sequence, EngineRole role) {
        return new EngineOrder(
                new FencingNumber(fencingNumber), sequence, new EngineTarget(MODEL, "1", List.of(), role));
    }

    @Test
    void answerIsTheTextOfThePromptAndCanBeResumed() throws Exception {
        start();
        String whole = ExpectedText.ofPrompt("system text, then " + PROMPT).text(20);
        assertEquals(whole, read(request(20, "", 0)));
        String head = ExpectedText.ofPrompt(PROMPT).text(8);
        assertEquals(whole, head + read(request(20, head, 8)));
        assertThrows(UpstreamRefusedException.class, () -> read(request(20, "other ", 8)));
        assertEquals(32, standIn.report().tokensSent());
    }

    @Test
    void longPrefillDoesNotTriggerTheReadTimeout() throws Exception {
        options.idleTimeoutMillis = 200;
        options.prefillTokensPerSecond = PROMPT.length() / 4.0 / 0.8;
        start();
        assertEquals(ExpectedText.ofPrompt(PROMPT).text(5), read(request(5, "", 0)));
    }

    @Test
    void cancelledGenerationStops() throws Exception {
        start();
        GenerationRequest request = request(1_000_000, "", 0);
        try (AnswerStream answer = engine.generate(request)) {
            answer.next();
            engine.cancel(request.exchange());
            assertThrows(AnswerTruncatedException.class, () -> {
                while (!answer.next().last()) {
                    // Reads on until the engine ends the answer.
                }
            });
        }
        awaitIdle();
        assertEquals(
                GenerationRecord.Outcome.CANCELLED,
                standIn.report().generations().getFirst().outcome());
    }

    @Test
    void closedAnswerStopsTheGeneration() throws Exception {
        start();
        try (AnswerStream answer = engine.generate(request(1_000_000, "", 0))) {
            answer.next();
        }
        awaitIdle();
    }

    private void awaitIdle() throws InterruptedException {
        while (standIn.report().runningStreams() > 0) {
            Thread.sleep(10);
        }
    }

    @Test
    @FaultRow(promise = Promise.NO_PLANNED_CUT, step = "role change", fault = "order while a stream runs")
    void runningStreamFinishesDuringARoleChangeAndNewOnesAreRefused() throws Exception {
        options.changeMillis = 5_000;
        start();
        GenerationRequest running = request(50, "", 0);
        StringBuilder text = new StringBuilder();
        try (AnswerStream answer = engine.generate(running)) {
            text.append(answer.next().text());
            engine.apply(order(1, 1, EngineRole.DECODE), () -> true);
            assertThrows(UpstreamRefusedException.class, () -> read(request(1, "", 0)));
            assertTrue(engine.state().changing());
            for (AnswerChunk chunk = answer.next(); !chunk.last(); chunk = answer.next()) {
                text.append(chunk.text());
            }
        }
        assertEquals(ExpectedText.ofPrompt(PROMPT).text(50), text.toString());
        assertEquals(EngineRole.DECODE, engine.state().target().role());
    }

    @Test
    @FaultRow(promise = Promise.STALE_AUTHORITY_HARMLESS, step = "engine order", fault = "old fencing number")
    void orderWithAnOldFencingNumberIsRefused() throws Exception {
        start();
        engine.apply(order(5, 1, EngineRole.DECODE), () -> true);
        assertThrows(
                StaleFencingNumberException.class, () -> engine.apply(order(4, 9, EngineRole.PREFILL), () -> true));
        assertEquals(EngineRole.DECODE, engine.state().target().role());
        assertEquals(new FencingNumber(5), engine.state().highestSeen());
        assertEquals(List.of(), standIn.report().violations());
    }

    @Test
    void engineThatIgnoresFencingReportsTheConflict() throws Exception {
        options.ignoreFencing = true;
        start();
        engine.apply(order(5, 1, EngineRole.DECODE), () -> true);
        engine.apply(order(4, 9, EngineRole.PREFILL), () -> true);
        assertEquals(EngineRole.PREFILL, engine.state().target().role());
        assertFalse(standIn.report().violations().isEmpty());
    }

    @Test
    @FaultRow(promise = Promise.STALE_AUTHORITY_HARMLESS, step = "engine order", fault = "body after the read timeout")
    void orderWhoseBodyComesAfterTheReadTimeoutIsNotRun() throws Exception {
        options.idleTimeoutMillis = 200;
        start();
        byte[] body = WireFormat.encode(order(1, 1, EngineRole.DECODE));
        String head = "POST /orders HTTP/1.1\r\nHost: engine\r\nContent-Length: " + body.length + "\r\n\r\n";
        try (Socket socket =
                new Socket(standIn.address().getAddress(), standIn.address().getPort())) {
            OutputStream output = socket.getOutputStream();
            output.write(head.getBytes(StandardCharsets.US_ASCII));
            output.flush();
            assertEquals(-1, socket.getInputStream().read(), "the engine closes without an answer");
            assertThrows(IOException.class, () -> {
                while (true) {
                    output.write(body);
                    output.flush();
                    Thread.sleep(10);
                }
            });
        }
        assertEquals(List.of(), standIn.report().orders());
        assertEquals(1, standIn.report().orderBodiesTimedOut());
        assertEquals(EngineRole.MIXED, engine.state().target().role());
    }

    @Test
    void cacheEventsListThePrefixesOfAPrompt() throws Exception {
        options.cacheEventLagMillis = 0;
        options.cacheEventGapEvery = 0;
        options.prefillTokensPerSecond = 1e9;
        start();
        String prompt = "x".repeat(3 * EngineCosts.BLOCK_TOKENS * PromptTokens.CHARACTERS_PER_TOKEN);
        ExchangeId exchange = new ExchangeId(new VmId("v"), new Incarnation(1), 1);
        read(new GenerationRequest(exchange, MODEL, Optional.empty(), prompt, 1, 0, "", 0));
        assertEquals(
                Arrays.stream(PrefixHashes.of(prompt)).boxed().toList(),
                engine.cacheEvents(0).stream().map(CacheEvent::prefixHash).toList());
        assertEquals(
                List.of(3L),
                engine.cacheEvents(2).stream().map(CacheEvent::number).toList());
    }

    @Test
    void transferredPrefixIsInTheCacheOfTheDestination() throws Exception {
        options.cacheEventLagMillis = 0;
        options.prefillTokensPerSecond = 1e9;
        start();
        String prompt = "y".repeat(EngineCosts.BLOCK_TOKENS * PromptTokens.CHARACTERS_PER_TOKEN);
        long prefix = PrefixHashes.of(prompt)[0];
        try (EngineStandIn other = EngineStandIn.start(0, options, () -> {})) {
            HttpEngine destination = new HttpEngine(client, other.address());
            assertThrows(UpstreamRefusedException.class, () -> engine.transferCache(prefix, destination));
            ExchangeId exchange = new ExchangeId(new VmId("v"), new Incarnation(1), 2);
            read(new GenerationRequest(exchange, MODEL, Optional.empty(), prompt, 1, 0, "", 0));
            engine.transferCache(prefix, destination);
            assertEquals(prefix, destination.cacheEvents(0).getFirst().prefixHash());
        }
    }

    @Test
    void crashTruncatesRunningAnswers() throws Exception {
        start();
        try (AnswerStream answer = engine.generate(request(1_000_000, "", 0))) {
            answer.next();
            standIn.close();
            assertThrows(AnswerTruncatedException.class, () -> {
                while (!answer.next().last()) {
                    // Reads the chunks that were sent before the crash.
                }
            });
        }
    }
}
