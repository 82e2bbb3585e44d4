package io.banyantally.standins.experiment;

import io.banyantally.standins.engine.EngineCosts;
import java.util.Optional;

/** Asks for more prefill engines whenever the prefill share of recent work is above a threshold, and for fewer below. */
final class NaiveRoleControl {
    private static final double THRESHOLD = 0.5;
    private static final long WINDOW = 5 * TraceGenerator.SECOND;

    private double prefillSeconds;
    private double decodeSeconds;
    private long windowStart;
    private boolean more;
    private int changes;

    void observe(TraceRequest request) {
        EngineCosts costs = EngineCosts.DEFAULT;
        prefillSeconds += request.promptTokens() / costs.prefillTokensPerSecond();
        decodeSeconds += request.outputTokens() * (costs.decodePerStreamNanos() + costs.decodeBaseNanos() / 80.0) / 1e9;
    }

    /** Returns at the end of a window whether there should be more prefill engines, if that has changed. */
    Optional<Boolean> decide(long now) {
        if (now - windowStart < WINDOW) {
            return Optional.empty();
        }
        windowStart = now;
        boolean above = prefillSeconds > THRESHOLD * (prefillSeconds + decodeSeconds);
        prefillSeconds = 0;
        decodeSeconds = 0;
        if (above == more) {
            return Optional.empty();
        }
        more = above;
        return Optional.of(more);
    }

    void count(int changed) {
        changes += changed;
    }

    int changes() {
        return changes;
    }
}
