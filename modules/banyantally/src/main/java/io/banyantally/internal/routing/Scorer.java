package io.banyantally.internal.routing;

import io.banyantally.upstream.EngineRole;

/** Ranks upstreams for a request by expected first-token time and token interval; lower scores are better. */
final class Scorer {
    /** Time to first token within which a request counts as good. */
    static final double FIRST_TOKEN_TARGET_SECONDS = 1.4;

    /** Mean token interval within which a request counts as good. */
    static final double TOKEN_INTERVAL_TARGET_SECONDS = 0.032;

    /** Above this fraction of a target the score rises steeply, which leaves room for prediction errors. */
    private static final double FIRST_TOKEN_KNEE = 0.7;

    private static final double INTERVAL_KNEE = 0.9;
    private static final double SLOPE_ABOVE_KNEE = 8;

    /** The token interval counts less than the first token while both are far below their targets. */
    private static final double INTERVAL_WEIGHT = 0.5;

    /** Added to the score of upstreams at the regular price, so that cheap ones are preferred. */
    private static final double REGULAR_PRICE_PENALTY = 0.04;

    /** Added if KV cache blocks are lacking; waiting for them is worse than any expected wait for prefill. */
    private static final double FULL_CACHE_PENALTY = 5;

    private final RouterSettings settings;

    Scorer(RouterSettings settings) {
        this.settings = settings;
    }

    /** Returns the score of prefill and decoding at one upstream. */
    double singleUpstreamScore(UpstreamState upstream, double uncachedTokens, int blocks, long now) {
        double firstTokenSeconds = zoneDelaySeconds(upstream)
                + (upstream.expectedQueuedTokens(now) + uncachedTokens) / upstream.prefillRateNow(now);
        return combinedScore(upstream, firstTokenSeconds, blocks, now);
    }

    /** Returns the seconds until the KV cache of the prompt's whole blocks is at the decoding upstream. */
    double prefillStageSeconds(
            UpstreamState upstream,
            double uncachedTokens,
            int transferredTokens,
            double transferTokensPerSecond,
            long now) {
        return zoneDelaySeconds(upstream)
                + (upstream.expectedQueuedTokens(now) + uncachedTokens) / upstream.prefillRateNow(now)
                + transferredTokens / transferTokensPerSecond;
    }

    /** Returns the score of decoding at an upstream after a prefill stage elsewhere that takes {@code stageSeconds}. */
    double decodeStageScore(UpstreamState upstream, double stageSeconds, double remainingTokens, int blocks, long now) {
        // The queue of the decoding upstream drains while the prefill stage runs.
        double drained = stageSeconds * upstream.prefillRateNow(now);
        double queued = Math.max(0, upstream.expectedQueuedTokens(now) - drained);
        double firstTokenSeconds =
                stageSeconds + zoneDelaySeconds(upstream) + (queued + remainingTokens) / upstream.prefillRateNow(now);
        return combinedScore(upstream, firstTokenSeconds, blocks, now);
    }

    private double combinedScore(UpstreamState upstream, double firstTokenSeconds, int blocks, long now) {
        double intervalSeconds = upstream.intervalSeconds(upstream.expectedStreams(now) + 1);
        double score = kneeCost(firstTokenSeconds / FIRST_TOKEN_TARGET_SECONDS, FIRST_TOKEN_KNEE)
                + INTERVAL_WEIGHT * kneeCost(intervalSeconds / TOKEN_INTERVAL_TARGET_SECONDS, INTERVAL_KNEE);
        if (!upstream.known().cheap()) {
            score += REGULAR_PRICE_PENALTY;
        }
        if (!upstream.hasFreeBlocks(blocks)) {
            score += FULL_CACHE_PENALTY;
        }
        return score;
    }

    private static double kneeCost(double targetFraction, double knee) {
        return targetFraction + SLOPE_ABOVE_KNEE * Math.max(0, targetFraction - knee);
    }

    private double zoneDelaySeconds(UpstreamState upstream) {
        return upstream.known().zone().equals(settings.zone())
                ? 0
                : settings.otherZoneDelay().toNanos() / 1e9;
    }

    static boolean decodes(UpstreamState upstream) {
        return upstream.role() != EngineRole.PREFILL;
    }
}
