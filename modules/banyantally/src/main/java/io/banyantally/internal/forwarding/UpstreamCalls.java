package io.banyantally.internal.forwarding;

import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.PrefilledCache;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.RequestKind;
import io.banyantally.deployment.UpstreamRequestOptions;
import io.banyantally.internal.adapter.HttpCall;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/** Puts together the calls of one request. */
final class UpstreamCalls {

    private final ForwardingServices services;
    private final CallerExchange caller;
    private final AdmittedRequest request;
    private OptionalLong resumeAfter = OptionalLong.empty();

    UpstreamCalls(ForwardingServices services, CallerExchange caller, AdmittedRequest request) {
        this.services = services;
        this.caller = caller;
        this.request = request;
    }

    /** Later calls continue a stream after this event. */
    void resumeAfter(OptionalLong event) {
        resumeAfter = event;
    }

    /** Returns the whole milliseconds that the request has left. */
    Duration remaining() {
        return Duration.ofMillis(Math.max(0, request.remaining(services.clock()).toMillis()));
    }

    /** Returns a call that sends the request to an upstream. */
    HttpCall call(ReplicaEntry upstream, Duration remaining, Optional<PrefilledCache> handOver, EngineStage stage) {
        UpstreamRequestOptions send = new UpstreamRequestOptions(
                remaining, upstream.id(), request.account(), request.urgency(), resumeAfter, stage, handOver);
        boolean ownConnection = request.route().kind() == RequestKind.NON_IDEMPOTENT;
        return new HttpCall(
                upstream.address(),
                caller.method(),
                caller.target(),
                services.dialect().upstreamHeaders(request.headers(), send),
                request.body(),
                ownConnection,
                remaining,
                () -> true);
    }
}
