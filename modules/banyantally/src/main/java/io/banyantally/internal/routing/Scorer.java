package io.banyantally.internal.routing;

import io.banyantally.upstream.EngineRole;

/** Ranks upstreams for a request by expected first-token time and token interval; lower scores are better. */
final class Scorer {
    /** The targets of a good request, in seconds. */
    static final double FIRST_TOKEN_TARGET = 1.4;

    static final double INTERVAL_TARGET = 0.032;

    /** Above this part of a target the score rises steeply, which leaves room for errors of the prediction. */
    private static final double FIRST_TOKEN_KNEE = 0.7;

    private static final double INTERVAL_KNEE = 0.9;
    private static final double STEEPNESS = 8;

    /** The interval counts less than the first token while both are far from their targets. */
    private static final double INTERVAL_WEIGHT = 0.5;

    /** What a dearer upstream must be better by. */
    private static final double PRICE_PENALTY = 0.04;

    /** Waiting for KV cache blocks is worse than any expected wait for prefill. */
    private static final double NO_ROOM_PENALTY = 5;

    private final RouterSettings settings;

    Scorer(RouterSettings settings) {
        this.settings = settings;
    }

    /** Returns the score of computing and decoding at one upstream. */
    double single(UpstreamState upstream, double uncachedTokens, int blocks, long now) {
        double firstToken =
                delay(upstream) + (upstream.queuedTokens(now) + uncachedTokens) / upstream.prefillRateNow(now);
        return combined(upstream, firstToken, blocks, now);
    }

    /** Returns the seconds until the copied prompt's KV cache is at the decoding upstream. */
    double prefillStage(UpstreamState upstream, double uncachedTokens, int copiedTokens, double copyRate, long now) {
        return delay(upstream)
                + (upstream.queuedTokens(now) + uncachedTokens) / upstream.prefillRateNow(now)
                + copiedTokens / copyRate;
    }

    /** Returns the score of decoding at an upstream after a stage that takes {@code stageSeconds}. */
    double decodeStage(UpstreamState upstream, double stageSeconds, double tailTokens, int blocks, long now) {
        // The queue drains while the first stage runs.
        double drained = stageSeconds * upstream.prefillRateNow(now);
        double queued = Math.max(0, upstream.queuedTokens(now) - drained);
        double firstToken = stageSeconds + delay(upstream) + (queued + tailTokens) / upstream.prefillRateNow(now);
        return combined(upstream, firstToken, blocks, now);
    }

    private double combined(UpstreamState upstream, double firstToken, int blocks, long now) {
        double interval = upstream.intervalSeconds(upstream.streams(now) + 1);
        double score = steep(firstToken / FIRST_TOKEN_TARGET, FIRST_TOKEN_KNEE)
                + INTERVAL_WEIGHT * steep(interval / INTERVAL_TARGET, INTERVAL_KNEE);
        if (!upstream.known().cheap()) {
            score += PRICE_PENALTY;
        }
        if (!upstream.hasRoom(blocks)) {
            score += NO_ROOM_PENALTY;
        }
        return score;
    }

    private static double steep(double part, double knee) {
        return part + STEEPNESS * Math.max(0, part - knee);
    }

    private double delay(UpstreamState upstream) {
        return upstream.known().zone().equals(settings.zone())
                ? 0
                : settings.otherZoneDelay().toNanos() / 1e9;
    }

    static boolean decodes(UpstreamState upstream) {
        return upstream.role() != EngineRole.PREFILL;
    }
}
