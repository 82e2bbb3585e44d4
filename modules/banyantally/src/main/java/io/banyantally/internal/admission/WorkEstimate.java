package io.banyantally.internal.admission;

/** The expected work of a request, in tokens. */
public record WorkEstimate(int promptTokens, int outputTokens) {

    private static final int BYTES_PER_TOKEN = 4;

    /** Rejects negative token counts. */
    public WorkEstimate {
        if (promptTokens < 0 || outputTokens < 0) {
            throw new IllegalArgumentException("work estimate must not be negative: prompt " + promptTokens
                    + ", output " + outputTokens + " tokens");
        }
    }

    /** Estimates the prompt tokens of a generation from the prompt's length; only engines count them exactly. */
    public static WorkEstimate ofPrompt(String prompt, int maximumOutputTokens) {
        return new WorkEstimate(Math.max(1, prompt.length() / BYTES_PER_TOKEN), maximumOutputTokens);
    }
}
