package io.banyantally.standins.load;

/**
 * How the prompt-to-output mix and the rate move with time. Each period has a half with mostly long prompts and short
 * answers, and a half with mostly short prompts and long answers; each half starts with a burst.
 */
record MixSwing(double periodSeconds) {

    private static final double LONG_PROMPTS_IN_PREFILL_HALF = 0.8;
    private static final double LONG_PROMPTS_IN_DECODE_HALF = 0.15;
    private static final double BURST_PART = 1.0 / 6;
    private static final double BURST_RATE = 1.8;

    /** Makes the mean over a half 1: 1/6 * 1.8 + 5/6 * 0.84. */
    private static final double CALM_RATE = (1 - BURST_PART * BURST_RATE) / (1 - BURST_PART);

    MixSwing {
        if (periodSeconds <= 0) {
            throw new IllegalArgumentException("swing period " + periodSeconds + " s is not valid; use more than 0");
        }
    }

    boolean isPrefillHalf(double seconds) {
        return phase(seconds) < 0.5;
    }

    /** The probability that a chat has a long prompt. */
    double longPromptShare(double seconds) {
        return isPrefillHalf(seconds) ? LONG_PROMPTS_IN_PREFILL_HALF : LONG_PROMPTS_IN_DECODE_HALF;
    }

    /** The factor on the mean rate of an open loop. */
    double rateFactor(double seconds) {
        double inHalf = phase(seconds) * 2 % 1;
        return inHalf < BURST_PART ? BURST_RATE : CALM_RATE;
    }

    private double phase(double seconds) {
        return seconds / periodSeconds % 1;
    }
}
