package io.banyantally.internal.forwarding;

import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.PrefilledCache;
import io.banyantally.deployment.PromptMetadata;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.RequestKind;
import io.banyantally.deployment.UpstreamRequestOptions;
import io.banyantally.internal.adapter.HttpCall;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** Creates the HTTP calls that send one request to upstreams. */
final class UpstreamCallFactory {

    /** Upstreams are told the remaining time in whole milliseconds. */
    private static final Duration MINIMUM_TIME = Duration.ofMillis(1);

    private final ForwardingServices services;
    private final CallerExchange caller;
    private final AdmittedRequest request;
    private final Set<InetSocketAddress> called = new HashSet<>();
    private OptionalLong resumeAfter = OptionalLong.empty();

    UpstreamCallFactory(ForwardingServices services, CallerExchange caller, AdmittedRequest request) {
        this.services = services;
        this.caller = caller;
        this.request = request;
    }

    /** Makes later calls resume the stream after this event. */
    void resumeAfter(OptionalLong eventId) {
        resumeAfter = eventId;
    }

    /** Returns what the request states about its prompt. */
    Optional<PromptMetadata> prompt() {
        return request.metadata().prompt();
    }

    /** Returns the time until the deadline; zero if it is less than upstreams can be told. */
    Duration remaining() {
        Duration remaining = request.remaining(services.clock());
        return remaining.compareTo(MINIMUM_TIME) < 0 ? Duration.ZERO : remaining;
    }

    /** Returns a call that sends the request to an upstream. */
    HttpCall createCall(
            ReplicaEntry upstream, Duration remaining, Optional<PrefilledCache> prefilledCache, EngineStage stage) {
        UpstreamRequestOptions options = new UpstreamRequestOptions(
                remaining,
                upstream.id(),
                request.account(),
                request.enginePriority(),
                resumeAfter,
                stage,
                prefilledCache);
        // The late copy of the first answer to this attempt would name it, too. Upstreams may succeed each other at an
        // address, and connections are kept by address.
        boolean ownConnection =
                !called.add(upstream.address()) || request.route().kind() == RequestKind.NON_IDEMPOTENT;
        boolean mayBeUnnamed = ownConnection && stage == EngineStage.NONE;
        return new HttpCall(
                upstream.address(),
                caller.method(),
                caller.target(),
                services.dialect().upstreamHeaders(request.headers(), options),
                request.body(),
                ownConnection,
                remaining,
                () -> services.replicas().isStillAccepting(upstream),
                headers -> ResponseStatement.mismatch(
                        services.dialect().answeredAttempt(headers),
                        request.metadata().attempt(),
                        mayBeUnnamed));
    }
}
