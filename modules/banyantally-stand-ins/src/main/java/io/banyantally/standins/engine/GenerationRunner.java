package io.banyantally.standins.engine;

import io.banyantally.internal.adapter.WireChunk;
import io.banyantally.internal.adapter.WireFormat;
import io.banyantally.standins.StandInExchange;
import io.banyantally.upstream.GenerationRequest;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;

/** Runs one generation: waits for a place, computes the prompt, and sends token by token. */
final class GenerationRunner {

    private static final int REFUSED = 503;
    private static final byte NEWLINE = 10;

    private final EngineOptions options;
    private final EngineTiming timing;
    private final StoredPrefixes cache;
    private final OrderBook orders;
    private final LoadBoard load;
    private final GenerationLog log;
    private final PrioritySlots batch;
    private final PrioritySlots prefill = new PrioritySlots(1);
    private final Map<String, Boolean> cancelled = new ConcurrentHashMap<>();

    GenerationRunner(EngineOptions options, StoredPrefixes cache, OrderBook orders, LoadBoard load, GenerationLog log) {
        this.options = options;
        this.cache = cache;
        this.orders = orders;
        this.load = load;
        this.log = log;
        this.batch = new PrioritySlots(options.batch);
        this.timing = new EngineTiming(
                options.prefillTokensPerSecond,
                Duration.ofNanos((long) (options.decodeStepMillis * 1e6)),
                options.stepGrowth);
    }

    /** Marks a generation as cancelled; an unknown one is ignored. */
    void cancel(String exchange) {
        cancelled.replace(exchange, true);
    }

    void run(GenerationRequest request, StandInExchange http) throws IOException, InterruptedException {
        String exchange = request.exchange().toString();
        int promptTokens = PromptBlocks.tokens(request.prompt());
        if (orders.isChanging()
                || !orders.state().target().model().equals(request.model())
                || load.present().get() >= options.batch + options.queue) {
            log.add(request, promptTokens, 0, 0, RanGeneration.Outcome.REFUSED);
            http.answer(REFUSED, "not run: the engine is changing, full, or has another model");
            return;
        }
        cancelled.put(exchange, false);
        load.present().incrementAndGet();
        try {
            runAdmitted(request, promptTokens, http);
        } finally {
            load.present().decrementAndGet();
            cancelled.remove(exchange);
        }
    }

    private void runAdmitted(GenerationRequest request, int promptTokens, StandInExchange http)
            throws IOException, InterruptedException {
        ExpectedText text = ExpectedText.ofPrompt(request.prompt());
        log.started();
        if (!text.text(request.firstIndex()).equals(request.resumeText())) {
            log.add(request, promptTokens, 0, 0, RanGeneration.Outcome.RESUMED_WITH_OTHER_TEXT);
            http.answer(REFUSED, "not run: the text to resume is not the text of the prompt");
            return;
        }
        http.startStream("application/x-ndjson");
        load.queuedPromptTokens().addAndGet(promptTokens);
        boolean waiting = true;
        batch.acquire(request.priority());
        try {
            int cached = computePrompt(request, promptTokens);
            load.queuedPromptTokens().addAndGet(-promptTokens);
            waiting = false;
            decode(request, text, promptTokens, cached, http);
        } finally {
            if (waiting) {
                load.queuedPromptTokens().addAndGet(-promptTokens);
            }
            batch.release();
        }
    }

    private int computePrompt(GenerationRequest request, int promptTokens) throws InterruptedException {
        prefill.acquire(request.priority());
        try {
            if (isCancelled(request)) {
                return 0;
            }
            int cached = cache.useAndStore(PromptBlocks.prefixHashes(request.prompt()));
            Thread.sleep(timing.prefill(Math.max(0, promptTokens - cached)));
            return cached;
        } finally {
            prefill.release();
        }
    }

    private void decode(
            GenerationRequest request, ExpectedText text, int promptTokens, int cached, StandInExchange http)
            throws IOException {
        load.running().incrementAndGet();
        int index = request.firstIndex();
        int end = index + request.maximumOutputTokens();
        long due = System.nanoTime();
        try {
            while (index < end && !isCancelled(request)) {
                due += timing.decodeStep(load.running().get()).toNanos();
                sleepUntil(due);
                send(http, request, index, text.token(index), false, 0, 0);
                index++;
            }
            if (isCancelled(request)) {
                log.add(request, promptTokens, cached, index - request.firstIndex(), RanGeneration.Outcome.CANCELLED);
                http.dropConnection();
                return;
            }
            send(http, request, index, "", true, promptTokens, cached);
            log.add(request, promptTokens, cached, index - request.firstIndex(), RanGeneration.Outcome.FINISHED);
        } catch (IOException closed) {
            log.add(request, promptTokens, cached, index - request.firstIndex(), RanGeneration.Outcome.CANCELLED);
            throw closed;
        } finally {
            load.running().decrementAndGet();
        }
    }

    private static void sleepUntil(long due) {
        long remaining = due - System.nanoTime();
        while (remaining > 0) {
            LockSupport.parkNanos(remaining);
            remaining = due - System.nanoTime();
        }
    }

    private static void send(
            StandInExchange http,
            GenerationRequest request,
            int index,
            String token,
            boolean last,
            int promptTokens,
            int cached)
            throws IOException {
        WireChunk chunk = new WireChunk(request.exchange().toString(), index, token, last, promptTokens, cached);
        byte[] json = WireFormat.encode(chunk);
        byte[] line = new byte[json.length + 1];
        System.arraycopy(json, 0, line, 0, json.length);
        line[json.length] = NEWLINE;
        http.streamPart(line, last);
    }

    private boolean isCancelled(GenerationRequest request) {
        return cancelled.getOrDefault(request.exchange().toString(), false);
    }
}
