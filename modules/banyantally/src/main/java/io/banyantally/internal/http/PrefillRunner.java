package io.banyantally.internal.http;

import io.banyantally.internal.invariant.InvariantViolationException;
import io.banyantally.internal.routing.PrefillStage;
import io.banyantally.internal.routing.Route;
import io.banyantally.internal.routing.RunningWork;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.internal.timeline.EventKind;
import io.banyantally.upstream.AnswerStream;
import io.banyantally.upstream.Engine;
import io.banyantally.upstream.GenerationRequest;
import io.banyantally.upstream.UpstreamException;
import java.time.Duration;
import java.util.Optional;

/**
 * Computes a prompt's KV cache on a prefill engine and copies it to the decode engine. A failure only adds latency,
 * because the decode engine then computes the prompt itself.
 */
final class PrefillRunner {

    private final UpstreamAccess upstreams;

    PrefillRunner(UpstreamAccess upstreams) {
        this.upstreams = upstreams;
    }

    /** Runs the route's prefill stage, if any, for the generation {@code request} that is sent afterwards. */
    void run(Route route, GenerationRequest request) throws InterruptedException {
        Optional<PrefillStage> stage = route.prefill();
        if (stage.isEmpty()) {
            return;
        }
        try {
            Optional<RunningWork> work =
                    upstreams.gate().tryBegin(stage.get().upstream().id());
            if (work.isEmpty()) {
                return;
            }
            try {
                route.prefillDone(computeAndCopy(stage.get(), route, request));
            } finally {
                work.get().close();
            }
        } catch (UpstreamException | InvariantViolationException failure) {
            upstreams
                    .timeline()
                    .record(
                            EventKind.PREFILL_FAILED,
                            EventField.of("upstream", stage.get().upstream().id()),
                            EventField.of("reason", failure.getMessage()));
        }
    }

    private Duration computeAndCopy(PrefillStage stage, Route route, GenerationRequest request)
            throws UpstreamException, InterruptedException {
        Engine prefill = upstreams.connector().engine(stage.upstream());
        try (AnswerStream answer = prefill.generate(firstTokenOnly(request))) {
            // The cache is complete when the first token arrives. The decode engine generates that token again.
            answer.next();
        }
        long start = System.nanoTime();
        prefill.transferCache(stage.prefixHash(), upstreams.connector().engine(route.upstream()));
        return Duration.ofNanos(System.nanoTime() - start);
    }

    private GenerationRequest firstTokenOnly(GenerationRequest request) {
        return new GenerationRequest(
                upstreams.exchangeIds().next(),
                request.model(),
                request.adapter(),
                request.prompt(),
                request.firstIndex() + 1,
                request.priority(),
                request.resumeText(),
                request.firstIndex());
    }
}
