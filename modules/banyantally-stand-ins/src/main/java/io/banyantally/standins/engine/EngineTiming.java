package io.banyantally.standins.engine;

import java.time.Duration;

/** How long the work of an engine takes. */
final class EngineTiming {

    private static final double NANOS_PER_SECOND = 1e9;

    private final double prefillTokensPerSecond;
    private final Duration decodeStep;
    private final double stepGrowthPerStream;

    /**
     * @param decodeStep the time of a token when one stream runs
     * @param stepGrowthPerStream by which part of {@code decodeStep} each further stream lengthens a token
     */
    EngineTiming(double prefillTokensPerSecond, Duration decodeStep, double stepGrowthPerStream) {
        this.prefillTokensPerSecond = prefillTokensPerSecond;
        this.decodeStep = decodeStep;
        this.stepGrowthPerStream = stepGrowthPerStream;
    }

    Duration prefill(int tokens) {
        return Duration.ofNanos((long) (tokens / prefillTokensPerSecond * NANOS_PER_SECOND));
    }

    Duration decodeStep(int runningStreams) {
        double growth = 1 + stepGrowthPerStream * Math.max(0, runningStreams - 1);
        return Duration.ofNanos((long) (decodeStep.toNanos() * growth));
    }
}
