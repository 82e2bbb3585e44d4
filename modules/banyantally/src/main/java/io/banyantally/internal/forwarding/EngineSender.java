package io.banyantally.internal.forwarding;

import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.PrefillResponse;
import io.banyantally.deployment.PrefilledCache;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.ResponseMetadata;
import io.banyantally.deployment.UnreadableDocumentException;
import io.banyantally.internal.adapter.ExchangeException;
import io.banyantally.internal.adapter.HttpCall;
import io.banyantally.internal.adapter.HttpExchange;
import io.banyantally.internal.adapter.HttpReply;
import io.banyantally.internal.adapter.NothingSentException;
import io.banyantally.internal.placement.Placement;
import io.banyantally.internal.placement.UpstreamTrack;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Has the prompt of a request read by a prefill engine. A prompt that is read has not run. */
final class EngineSender {

    private static final int OK = 200;
    private static final int LARGEST_ANSWER = 64 * 1024;

    /** The time for a call that frees a handle nobody takes; the engine frees it by itself a little later. */
    private static final Duration FREE_TIME = Duration.ofMillis(500);

    /** What a call takes beside waiting and reading: two ways and the work of this process. */
    private static final double CALL_MILLIS = 5;

    private final ForwardingServices services;
    private final CallerExchange caller;
    private final UpstreamCalls calls;
    private final RequestLog log;

    EngineSender(ForwardingServices services, CallerExchange caller, UpstreamCalls calls, RequestLog log) {
        this.services = services;
        this.caller = caller;
        this.calls = calls;
        this.log = log;
    }

    /** Has the prompt read; empty if it was not, in which case a decoding engine can read it itself. */
    Optional<PrefilledCache> prefill(Placement.Decision.Send choice) throws InterruptedException {
        ReplicaEntry engine = choice.candidate().entry();
        UpstreamTrack track = services.tracks().of(engine);
        long began = services.clock().nanoTime();
        track.recordSent(choice.work(), began);
        String result = "no_time_left";
        try {
            Duration remaining = calls.remaining();
            if (remaining.isPositive()) {
                HttpCall call = calls.call(engine, remaining, Optional.empty(), EngineStage.PREFILL);
                try (HttpExchange exchange = services.client().prepare(call)) {
                    caller.whenGone(exchange::close);
                    HttpReply reply = exchange.readWhole(LARGEST_ANSWER);
                    ResponseMetadata facts = services.dialect().readResponse(reply.status(), reply.headers());
                    facts.load()
                            .ifPresent(load ->
                                    track.recordLoad(load, services.clock().nanoTime()));
                    result = "upstream_" + reply.status();
                    if (reply.status() == OK) {
                        PrefillResponse answer = services.dialect().readPrefillResponse(reply.body());
                        services.tracks().succeeded(track);
                        noteWait(track, began, choice);
                        result = "read";
                        return Optional.of(new PrefilledCache(engine, answer.handle()));
                    }
                }
                services.retries().recordRetry(engine.service());
                track.recordRefusal(services.clock().nanoTime());
                track.health().recordInconclusive();
            }
        } catch (NothingSentException unsent) {
            result = "not_connected";
            services.failed(track, result);
        } catch (ExchangeException failure) {
            result = "no_answer";
            services.retries().recordRetry(engine.service());
            if (!caller.isGone() && calls.remaining().isPositive()) {
                services.failed(track, result);
            } else {
                track.health().recordInconclusive();
            }
        } catch (UnreadableDocumentException unreadable) {
            result = "unreadable_answer";
            services.failed(track, result);
        } finally {
            track.recordEnd(choice.work(), began);
            caller.clearWhenGone();
            log.add("prefill", engine.id());
            log.addPlacement("prefill_placed", choice);
            log.addResult("prefill_result", result, began);
        }
        return Optional.empty();
    }

    private void noteWait(UpstreamTrack track, long began, Placement.Decision.Send choice) {
        long now = services.clock().nanoTime();
        double took = TimeUnit.NANOSECONDS.toMillis(now - began) - CALL_MILLIS;
        track.recordWait(took - choice.work(), now);
    }

    /** Frees the KV cache of a prompt that nobody will take. */
    void free(PrefilledCache handOver) {
        log.add("prefill_freed", handOver.engine().id());
        services.client()
                .sendWithoutAnswer(new HttpCall(
                        handOver.engine().address(),
                        "DELETE",
                        services.dialect().cacheReleaseTarget(handOver.handle()),
                        List.of(),
                        new byte[0],
                        false,
                        FREE_TIME,
                        () -> true));
    }
}
