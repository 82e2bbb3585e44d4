package io.banyantally.internal.routing;

import io.banyantally.internal.admission.ServiceCapacity;
import io.banyantally.upstream.EngineRole;
import java.util.Optional;

/** Estimates the capacity of a service at which its first-token and token-interval targets are still met. */
final class CapacityEstimate {
    /**
     * Streams are planned for this fraction of the target interval; at the full one, a small error makes all of them
     * late.
     */
    private static final double USABLE_INTERVAL_FRACTION = 0.92;

    /** A plain service has no prefill and no output tokens; only its streams are limited. */
    private static final double UNLIMITED_TOKENS_PER_SECOND = 1e12;

    private CapacityEstimate() {}

    static Optional<ServiceCapacity> ofEngines(UpstreamState[] upstreams, long now) {
        double prefill = 0;
        double bestPrefill = 0;
        double streams = 0;
        for (UpstreamState upstream : upstreams) {
            if (upstream.health.state(now) == Health.State.EJECTED) {
                continue;
            }
            EngineRole role = upstream.role();
            if (role != EngineRole.DECODE) {
                double rate = upstream.prefillRateNow(now);
                prefill += rate;
                bestPrefill = Math.max(bestPrefill, rate);
            }
            if (role != EngineRole.PREFILL) {
                streams += Math.max(
                        1, upstream.streamsWithin(Scorer.TOKEN_INTERVAL_TARGET_SECONDS * USABLE_INTERVAL_FRACTION));
            }
        }
        if (streams <= 0) {
            return Optional.empty();
        }
        if (prefill <= 0) {
            // Decoding engines also compute prompts when there is no other engine.
            bestPrefill = upstreams[0].prefillRateNow(now);
            prefill = bestPrefill * upstreams.length;
        }
        double outputTokens = streams / Scorer.TOKEN_INTERVAL_TARGET_SECONDS;
        return Optional.of(new ServiceCapacity(prefill, bestPrefill, streams, outputTokens));
    }

    static Optional<ServiceCapacity> ofPlainServices(UpstreamState[] upstreams, int callsPerReplica, long now) {
        int accepting = 0;
        for (UpstreamState upstream : upstreams) {
            if (upstream.health.state(now) != Health.State.EJECTED) {
                accepting++;
            }
        }
        double streams = (double) accepting * callsPerReplica;
        return accepting == 0
                ? Optional.empty()
                : Optional.of(new ServiceCapacity(
                        UNLIMITED_TOKENS_PER_SECOND,
                        UNLIMITED_TOKENS_PER_SECOND,
                        streams,
                        UNLIMITED_TOKENS_PER_SECOND));
    }
}
