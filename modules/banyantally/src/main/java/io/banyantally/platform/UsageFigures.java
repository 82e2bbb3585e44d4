package io.banyantally.platform;

/** Billed usage, in tokens and calls. */
public record UsageFigures(long promptTokens, long outputTokens, long calls) {

    /** Zero tokens and calls. */
    public static final UsageFigures ZERO = new UsageFigures(0, 0, 0);

    /** Rejects negative figures. */
    public UsageFigures {
        if (promptTokens < 0 || outputTokens < 0 || calls < 0) {
            throw new IllegalArgumentException("usage figures must not be negative: prompt " + promptTokens
                    + ", output " + outputTokens + ", calls " + calls);
        }
    }

    /** Returns the sum of these figures and {@code other}. */
    public UsageFigures plus(UsageFigures other) {
        return new UsageFigures(
                promptTokens + other.promptTokens, outputTokens + other.outputTokens, calls + other.calls);
    }
}
