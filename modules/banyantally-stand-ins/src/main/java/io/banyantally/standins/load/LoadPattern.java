package io.banyantally.standins.load;

/**
 * A periodic pattern of the prompt-to-output mix and the request rate. Each period has a half with mostly long prompts
 * and short answers, and a half with mostly short prompts and long answers; each half starts with a burst.
 */
record LoadPattern(double periodSeconds) {

    private static final double LONG_PROMPTS_IN_PREFILL_HALF = 0.8;
    private static final double LONG_PROMPTS_IN_DECODE_HALF = 0.15;
    private static final double BURST_SHARE = 1.0 / 6;
    private static final double BURST_RATE_FACTOR = 1.8;

    /** Makes the mean factor over a half 1: 1/6 * 1.8 + 5/6 * 0.84. */
    private static final double BASE_RATE_FACTOR = (1 - BURST_SHARE * BURST_RATE_FACTOR) / (1 - BURST_SHARE);

    LoadPattern {
        if (periodSeconds <= 0) {
            throw new IllegalArgumentException("swing period " + periodSeconds + " s is not valid; use more than 0");
        }
    }

    boolean isPrefillHalf(double seconds) {
        return phase(seconds) < 0.5;
    }

    /** Returns the probability that a chat has a long prompt. */
    double longPromptShare(double seconds) {
        return isPrefillHalf(seconds) ? LONG_PROMPTS_IN_PREFILL_HALF : LONG_PROMPTS_IN_DECODE_HALF;
    }

    /** Returns the factor on the mean rate of an open loop. */
    double rateFactor(double seconds) {
        double inHalf = phase(seconds) * 2 % 1;
        return inHalf < BURST_SHARE ? BURST_RATE_FACTOR : BASE_RATE_FACTOR;
    }

    private double phase(double seconds) {
        return seconds / periodSeconds % 1;
    }
}
