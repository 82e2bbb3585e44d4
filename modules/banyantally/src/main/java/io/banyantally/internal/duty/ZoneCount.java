package io.banyantally.internal.duty;

import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.ScalingRule;
import java.time.Duration;
import java.util.List;
import java.util.function.ToIntFunction;

/**
 * Decides how many upstreams of one service to run in each availability zone, from the requests that all VMs have at
 * them.
 *
 * <p>Answers a load that swings within seconds on a fleet that is larger than the swing needs. An upstream takes longer
 * to start than a peak lasts, so the count follows the recent peak and not the present load: it rises with the load at
 * once and falls slowly. What remains after the loss of one zone still serves the peak. A few upstreams of a zone run in
 * any case, since a small fleet has no reserve against crashes.
 */
final class ZoneCount {

    /** Upstreams that run in a zone whatever the load, unless the maximum is lower. */
    static final int MINIMUM_IN_ZONE = 8;

    /** The time in which a peak loses two thirds of its weight; swings of the load follow each other within it. */
    static final Duration PEAK_MEMORY = Duration.ofSeconds(30);

    /** The count is lowered in steps of this size, as each upstream that leaves takes its cached prompts with it. */
    private static final int STEP = 2;

    private double peak;
    private long measuredAt;
    private boolean measured;
    private int last;

    /**
     * Returns the number of upstreams in each zone, from the configured minimum to its maximum.
     *
     * @param requestsAt returns the requests that VMs have at an upstream
     * @param refusing whether prompts are refused, for which the maximum is ordered
     */
    int next(
            List<ReplicaEntry> running,
            ScalingRule rule,
            ToIntFunction<ReplicaEntry> requestsAt,
            boolean refusing,
            long now) {
        int zones = Math.max(1, rule.zonePrices().size());
        double needed = needed(running, requestsAt, zones);
        if (!measured) {
            measured = true;
            peak = Math.max(needed, running.size());
        } else {
            double weight = Math.exp(-(now - measuredAt) / (double) PEAK_MEMORY.toNanos());
            peak = Math.max(needed, needed + (peak - needed) * weight);
        }
        measuredAt = now;
        int wanted = refusing ? rule.maximum() : (int) Math.ceil(peak / zones);
        int count = Math.min(rule.maximum(), Math.max(MINIMUM_IN_ZONE, wanted));
        if (count > last || last - count >= STEP || last > rule.maximum()) {
            last = count;
        }
        return last;
    }

    /** Returns how many upstreams are busy now, with what the loss of a zone would take, for the busier stage twice. */
    private static double needed(List<ReplicaEntry> running, ToIntFunction<ReplicaEntry> requestsAt, int zones) {
        double prefilling = 0;
        double decoding = 0;
        for (ReplicaEntry upstream : running) {
            double requests = requestsAt.applyAsInt(upstream);
            if (upstream.stage() == EngineStage.PREFILL) {
                prefilling += requests;
            } else {
                decoding += requests / upstream.slots();
            }
        }
        double busy = prefilling == 0 ? decoding : Math.max(prefilling, decoding) / StageTargets.PREFILL_FRACTION;
        return zones == 1 ? busy : busy * zones / (zones - 1);
    }
}
