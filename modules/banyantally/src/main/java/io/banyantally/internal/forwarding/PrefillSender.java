package io.banyantally.internal.forwarding;

import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.PrefillResponse;
import io.banyantally.deployment.PrefilledCache;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.ResponseMetadata;
import io.banyantally.deployment.UnreadableDocumentException;
import io.banyantally.internal.adapter.ExchangeException;
import io.banyantally.internal.adapter.ForeignResponseException;
import io.banyantally.internal.adapter.HttpCall;
import io.banyantally.internal.adapter.HttpExchange;
import io.banyantally.internal.adapter.HttpReply;
import io.banyantally.internal.adapter.NothingSentException;
import io.banyantally.internal.placement.Placement;
import io.banyantally.internal.placement.UpstreamTrack;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Has a prefill engine compute the KV cache of a prompt. A request that was only prefilled has not run. */
final class PrefillSender {

    private static final int OK = 200;
    private static final int MAXIMUM_RESPONSE_BYTES = 64 * 1024;

    /** Time limit of the call that releases an unused cache handle. */
    private static final Duration RELEASE_TIMEOUT = Duration.ofMillis(500);

    /** Duration of a call beyond queueing and prefill: the network round trip and the work of this process. */
    private static final double CALL_OVERHEAD_MILLIS = 5;

    private static final double NANOS_PER_MILLI = 1e6;

    private final ForwardingServices services;
    private final CallerExchange caller;
    private final UpstreamCallFactory calls;
    private final RequestLog log;

    PrefillSender(ForwardingServices services, CallerExchange caller, UpstreamCallFactory calls, RequestLog log) {
        this.services = services;
        this.caller = caller;
        this.calls = calls;
        this.log = log;
    }

    /** Has the chosen engine compute the KV cache of the prompt, and waits for the result. */
    PrefillOutcome prefill(Placement.Decision.Send choice) throws InterruptedException {
        ReplicaEntry engine = choice.candidate().entry();
        UpstreamTrack track = services.tracks().of(engine);
        long startedAt = services.clock().nanoTime();
        track.recordSent(choice.work(), startedAt);
        String result = "no_time_left";
        try {
            Duration remaining = calls.remaining();
            if (remaining.isPositive()) {
                HttpCall call = calls.createCall(engine, remaining, Optional.empty(), EngineStage.PREFILL);
                try (HttpExchange exchange = services.client().prepare(call)) {
                    caller.onDisconnect(exchange::close);
                    HttpReply reply = exchange.readWhole(MAXIMUM_RESPONSE_BYTES);
                    ResponseMetadata metadata = services.dialect().readResponse(reply.status(), reply.headers());
                    metadata.load()
                            .ifPresent(load ->
                                    track.recordLoad(load, services.clock().nanoTime()));
                    services.notices().record(engine, metadata, caller.attemptId());
                    services.limits().record(engine, metadata, caller.attemptId(), startedAt);
                    result = "upstream_" + reply.status();
                    if (reply.status() == OK) {
                        PrefillResponse response = services.dialect().readPrefillResponse(reply.body());
                        services.tracks().succeeded(track);
                        recordTime(track, startedAt, choice);
                        result = "read";
                        return new PrefillOutcome.Cached(new PrefilledCache(engine, response.handle()));
                    }
                }
                track.recordRefusal(startedAt, services.clock().nanoTime());
                track.health().recordInconclusive();
                return PrefillOutcome.FAILED;
            }
            return PrefillOutcome.NOT_SENT;
        } catch (NothingSentException unsent) {
            result = services.unsentReason(engine);
            if (result.equals(ForwardingServices.NOT_CONNECTED)) {
                services.recordFailure(track, result);
            } else {
                track.health().recordInconclusive();
            }
            return PrefillOutcome.NOT_SENT;
        } catch (ForeignResponseException foreign) {
            result = foreign.reason();
            services.recordFailure(track, result);
            return PrefillOutcome.FAILED;
        } catch (ExchangeException failure) {
            result = "no_answer";
            if (!caller.isDisconnected() && calls.remaining().isPositive()) {
                services.recordFailure(track, result);
            } else {
                track.health().recordInconclusive();
            }
            return PrefillOutcome.FAILED;
        } catch (UnreadableDocumentException unreadable) {
            result = "unreadable_answer";
            services.recordFailure(track, result);
            return PrefillOutcome.FAILED;
        } finally {
            track.recordEnd(choice.work(), startedAt);
            caller.clearDisconnectAction();
            log.add("prefill", engine.id());
            log.addPlacement("prefill_placed", choice);
            log.addResult("prefill_result", result, startedAt);
            services.metrics().counter("prefills." + result).inc();
        }
    }

    private void recordTime(UpstreamTrack track, long startedAt, Placement.Decision.Send choice) {
        long now = services.clock().nanoTime();
        double elapsedMillis = (now - startedAt) / NANOS_PER_MILLI - CALL_OVERHEAD_MILLIS;
        calls.prompt().ifPresent(prompt -> services.engines().rates().recordPrefill(choice, prompt, elapsedMillis));
        track.recordWait(elapsedMillis - choice.work(), now);
    }

    /** Releases the KV cache of a prompt that no engine will use, without waiting for the answer. */
    void releaseCache(PrefilledCache prefilledCache) {
        log.add("prefill_freed", prefilledCache.engine().id());
        Thread.ofVirtual().name("cache-release").start(() -> release(prefilledCache));
    }

    private void release(PrefilledCache prefilledCache) {
        ReplicaEntry engine = prefilledCache.engine();
        // The answer names no attempt, so only one on a connection of its own is certain to belong to the call.
        HttpCall call = new HttpCall(
                engine.address(),
                "DELETE",
                services.dialect().cacheReleaseTarget(prefilledCache.handle()),
                List.of(),
                new byte[0],
                true,
                RELEASE_TIMEOUT,
                () -> true);
        String result = "no_answer";
        try (HttpExchange exchange = services.client().prepare(call)) {
            HttpReply reply = exchange.readWhole(MAXIMUM_RESPONSE_BYTES);
            ResponseMetadata metadata = services.dialect().readResponse(reply.status(), reply.headers());
            services.notices().record(engine, metadata, caller.attemptId());
            result = "upstream_" + reply.status();
        } catch (ExchangeException failure) {
            // The engine releases the cache by itself a little later.
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
        services.metrics().counter("cache_releases." + result).inc();
    }
}
