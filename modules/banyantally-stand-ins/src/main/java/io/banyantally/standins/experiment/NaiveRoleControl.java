package io.banyantally.standins.experiment;

import io.banyantally.standins.engine.EngineCosts;
import java.util.Optional;

/** Asks for more prefill engines when the prefill share of recent work exceeds a threshold, else for fewer. */
final class NaiveRoleControl {
    private static final double PREFILL_SHARE_THRESHOLD = 0.5;
    private static final long WINDOW_NANOS = 5 * TraceGenerator.NANOS_PER_SECOND;

    private double prefillSeconds;
    private double decodeSeconds;
    private long windowStart;
    private boolean morePrefill;
    private int changes;

    void observe(TraceRequest request) {
        EngineCosts costs = EngineCosts.DEFAULT;
        prefillSeconds += request.promptTokens() / costs.prefillTokensPerSecond();
        decodeSeconds += request.outputTokens() * (costs.decodePerStreamNanos() + costs.decodeBaseNanos() / 80.0) / 1e9;
    }

    /** Returns, at the end of a window, whether more prefill engines are needed; empty if that has not changed. */
    Optional<Boolean> decide(long now) {
        if (now - windowStart < WINDOW_NANOS) {
            return Optional.empty();
        }
        windowStart = now;
        boolean above = prefillSeconds > PREFILL_SHARE_THRESHOLD * (prefillSeconds + decodeSeconds);
        prefillSeconds = 0;
        decodeSeconds = 0;
        if (above == morePrefill) {
            return Optional.empty();
        }
        morePrefill = above;
        return Optional.of(morePrefill);
    }

    void countChanges(int changed) {
        changes += changed;
    }

    int changes() {
        return changes;
    }
}
