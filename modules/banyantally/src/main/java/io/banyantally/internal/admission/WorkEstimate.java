package io.banyantally.internal.admission;

/** The work that a request is expected to be, in tokens. */
public record WorkEstimate(int promptTokens, int outputTokens) {

    private static final int BYTES_PER_TOKEN = 4;

    /** Rejects negative estimates. */
    public WorkEstimate {
        if (promptTokens < 0 || outputTokens < 0) {
            throw new IllegalArgumentException("work estimate must not be negative: prompt " + promptTokens
                    + ", output " + outputTokens + " tokens");
        }
    }

    /** Estimates a generation from the length of its prompt; engines count exactly. */
    public static WorkEstimate ofPrompt(String prompt, int maximumOutputTokens) {
        return new WorkEstimate(Math.max(1, prompt.length() / BYTES_PER_TOKEN), maximumOutputTokens);
    }
}
