package io.banyantally.standins.engine;

import io.banyantally.internal.adapter.HttpEngine;
import io.banyantally.internal.adapter.WireChunk;
import io.banyantally.internal.adapter.WireFormat;
import io.banyantally.internal.routing.PrefixHashes;
import io.banyantally.standins.StandInExchange;
import io.banyantally.upstream.GenerationRequest;
import java.io.IOException;
import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** Runs generations in the cost model and streams their text token by token. */
final class GenerationRunner {

    private static final byte NEWLINE = 10;

    private final RealTimeEngine engine;
    private final OrderProcessor orders;
    private final GenerationLog log;
    private final int maximumJobs;
    private final AtomicLong lastJob = new AtomicLong();
    private final Map<String, Long> jobs = new ConcurrentHashMap<>();

    GenerationRunner(RealTimeEngine engine, OrderProcessor orders, GenerationLog log, int maximumJobs) {
        this.engine = engine;
        this.orders = orders;
        this.log = log;
        this.maximumJobs = maximumJobs;
    }

    /** Cancels a generation. Unknown exchanges are ignored. */
    void cancel(String exchange) {
        Long job = jobs.get(exchange);
        if (job != null) {
            engine.cancel(job);
        }
    }

    void run(GenerationRequest request, StandInExchange http) throws IOException, InterruptedException {
        int promptTokens = PromptTokens.count(request.prompt());
        if (orders.isChanging()
                || !orders.state().target().model().equals(request.model())
                || engine.jobs() >= maximumJobs) {
            log.recordEnd(request, promptTokens, 0, 0, GenerationRecord.Outcome.REFUSED);
            http.answer(
                    HttpEngine.NOT_RUN,
                    "not run: the engine is changing its role or model, is full, or has another model");
            return;
        }
        ExpectedText text = ExpectedText.ofPrompt(request.prompt());
        if (!text.text(request.firstIndex()).equals(request.resumeText())) {
            log.recordEnd(request, promptTokens, 0, 0, GenerationRecord.Outcome.RESUMED_WITH_OTHER_TEXT);
            http.answer(HttpEngine.NOT_RUN, "not run: the text to resume is not the expected text for the prompt");
            return;
        }
        log.recordStart();
        http.startStream("application/x-ndjson");
        long job = lastJob.incrementAndGet();
        String exchange = request.exchange().toString();
        jobs.put(exchange, job);
        try {
            stream(request, job, promptTokens, text, http);
        } finally {
            jobs.remove(exchange);
            engine.cancel(job);
        }
    }

    private void stream(GenerationRequest request, long job, int promptTokens, ExpectedText text, StandInExchange http)
            throws IOException, InterruptedException {
        int tokens = 0;
        int cached = 0;
        GenerationRecord.Outcome outcome = GenerationRecord.Outcome.CANCELLED;
        try {
            BlockingQueue<Optional<EngineEvent>> events = engine.submit(job(request, job, promptTokens));
            for (Optional<EngineEvent> event = events.take(); event.isPresent(); event = events.take()) {
                int index = event.get().index();
                cached = event.get().cachedTokens();
                if (event.get().kind() == EngineEvent.Kind.FINISHED) {
                    send(http, request, index, "", true, promptTokens, cached);
                    outcome = GenerationRecord.Outcome.FINISHED;
                    return;
                }
                send(http, request, index, text.token(index), false, 0, 0);
                tokens++;
            }
        } finally {
            log.recordEnd(request, promptTokens, cached, tokens, outcome);
        }
        // Recorded before the connection ends, so that a caller whose stream has ended finds it in the report.
        http.dropConnection();
    }

    /** The token limit of a resumed request includes the tokens before its first index. */
    private static EngineJob job(GenerationRequest request, long job, int promptTokens) {
        long[] hashes = PrefixHashes.of(request.prompt());
        return new EngineJob(
                job,
                hashes,
                Math.max(1, promptTokens + request.firstIndex()),
                Math.max(0, request.maximumOutputTokens() - request.firstIndex()),
                request.priority(),
                request.firstIndex());
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
        byte[] line = Arrays.copyOf(json, json.length + 1);
        line[json.length] = NEWLINE;
        http.streamPart(line, last);
    }
}
