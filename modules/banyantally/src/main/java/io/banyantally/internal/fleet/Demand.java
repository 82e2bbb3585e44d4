package io.banyantally.internal.fleet;

/**
 * What callers ask for.
 *
 * @param prefillTokensPerSecond prompt tokens that no prefix cache holds
 * @param outputTokensPerSecond output tokens
 * @param longPromptFraction the part of the prefill tokens that comes in prompts too long for an engine that also
 *     decodes
 */
public record Demand(double prefillTokensPerSecond, double outputTokensPerSecond, double longPromptFraction) {
    /** Rejects negative rates. */
    public Demand {
        if (prefillTokensPerSecond < 0
                || outputTokensPerSecond < 0
                || longPromptFraction < 0
                || longPromptFraction > 1) {
            throw new IllegalArgumentException("demand is not valid: prefill " + prefillTokensPerSecond + ", output "
                    + outputTokensPerSecond + " tokens/s, long part " + longPromptFraction
                    + "; use rates of 0 or more and a part of 0 to 1");
        }
    }

    /** Moves a smoothed demand towards an observed one; {@code part} is 0 to 1. */
    public Demand smoothedTowards(Demand observed, double part) {
        return new Demand(
                prefillTokensPerSecond + part * (observed.prefillTokensPerSecond - prefillTokensPerSecond),
                outputTokensPerSecond + part * (observed.outputTokensPerSecond - outputTokensPerSecond),
                longPromptFraction + part * (observed.longPromptFraction - longPromptFraction));
    }
}
