package io.banyantally.internal.routing;

import io.banyantally.internal.admission.ServiceCapacity;
import io.banyantally.upstream.EngineRole;
import java.util.Optional;

/** Adds up what the upstreams of a service can do with both targets kept. */
final class CapacityEstimate {
    /** Streams are counted at this part of the target interval, so that an error does not spoil all of them. */
    private static final double USABLE_INTERVAL = 0.92;

    /** A plain service has no prefill; its calls are bounded by streams alone. */
    private static final double NO_PREFILL_LIMIT = 1e12;

    private CapacityEstimate() {}

    static Optional<ServiceCapacity> ofEngines(UpstreamState[] upstreams, long now) {
        double prefill = 0;
        double best = 0;
        double streams = 0;
        for (UpstreamState upstream : upstreams) {
            if (upstream.health.state(now) == Health.State.EJECTED) {
                continue;
            }
            EngineRole role = upstream.role();
            if (role != EngineRole.DECODE) {
                double rate = upstream.prefillRateNow(now);
                prefill += rate;
                best = Math.max(best, rate);
            }
            if (role != EngineRole.PREFILL) {
                streams += Math.max(1, upstream.streamsWithin(Scorer.INTERVAL_TARGET * USABLE_INTERVAL));
            }
        }
        if (streams <= 0) {
            return Optional.empty();
        }
        if (prefill <= 0) {
            // Decoding engines compute prompts as well when no other does.
            best = upstreams[0].prefillRateNow(now);
            prefill = best * upstreams.length;
        }
        double outputTokens = streams / Scorer.INTERVAL_TARGET;
        return Optional.of(new ServiceCapacity(prefill, best, streams, outputTokens));
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
                : Optional.of(new ServiceCapacity(NO_PREFILL_LIMIT, NO_PREFILL_LIMIT, streams, NO_PREFILL_LIMIT));
    }
}
