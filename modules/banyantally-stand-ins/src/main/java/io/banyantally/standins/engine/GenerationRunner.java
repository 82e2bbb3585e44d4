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

/** Runs generations in the cost model and sends their text token by token. */
final class GenerationRunner {

    private static final byte NEWLINE = 10;

    private final RealTimeEngine engine;
    private final OrderBook orders;
    private final GenerationLog log;
    private final int mostJobs;
    private final AtomicLong lastJob = new AtomicLong();
    private final Map<String, Long> jobs = new ConcurrentHashMap<>();

    GenerationRunner(RealTimeEngine engine, OrderBook orders, GenerationLog log, int mostJobs) {
        this.engine = engine;
        this.orders = orders;
        this.log = log;
        this.mostJobs = mostJobs;
    }

    /** Stops a generation; an unknown one is ignored. */
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
                || engine.jobs() >= mostJobs) {
            log.add(request, promptTokens, 0, 0, RanGeneration.Outcome.REFUSED);
            http.answer(HttpEngine.NOT_RUN, "not run: the engine is changing, full, or has another model");
            return;
        }
        ExpectedText text = ExpectedText.ofPrompt(request.prompt());
        if (!text.text(request.firstIndex()).equals(request.resumeText())) {
            log.add(request, promptTokens, 0, 0, RanGeneration.Outcome.RESUMED_WITH_OTHER_TEXT);
            http.answer(HttpEngine.NOT_RUN, "not run: the text to resume is not the text of the prompt");
            return;
        }
        log.started();
        http.startStream("application/x-ndjson");
        long job = lastJob.incrementAndGet();
        String exchange = request.exchange().toString();
        jobs.put(exchange, job);
        try {
            serve(request, job, promptTokens, text, http);
        } finally {
            jobs.remove(exchange);
            engine.cancel(job);
        }
    }

    private void serve(GenerationRequest request, long job, int promptTokens, ExpectedText text, StandInExchange http)
            throws IOException, InterruptedException {
        int tokens = 0;
        int cached = 0;
        RanGeneration.Outcome outcome = RanGeneration.Outcome.CANCELLED;
        try {
            BlockingQueue<Optional<EngineEvent>> events = engine.submit(job(request, job, promptTokens));
            for (Optional<EngineEvent> event = events.take(); event.isPresent(); event = events.take()) {
                int index = event.get().index();
                cached = event.get().cachedTokens();
                if (event.get().kind() == EngineEvent.Kind.FINISHED) {
                    send(http, request, index, "", true, promptTokens, cached);
                    outcome = RanGeneration.Outcome.FINISHED;
                    return;
                }
                send(http, request, index, text.token(index), false, 0, 0);
                tokens++;
            }
            http.dropConnection();
        } finally {
            log.add(request, promptTokens, cached, tokens, outcome);
        }
    }

    /** The most output tokens of a request count from index 0, also when it is resumed. */
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
