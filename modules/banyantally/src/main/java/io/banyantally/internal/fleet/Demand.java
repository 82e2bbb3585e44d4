package io.banyantally.internal.fleet;

/**
 * The load that callers request of a service.
 *
 * @param prefillTokensPerSecond prompt tokens that no prefix cache holds
 * @param outputTokensPerSecond output tokens
 * @param longPromptFraction the fraction of the prefill tokens in prompts too long for an engine that also decodes
 */
public record Demand(double prefillTokensPerSecond, double outputTokensPerSecond, double longPromptFraction) {
    /** Rejects negative rates. */
    public Demand {
        if (prefillTokensPerSecond < 0
                || outputTokensPerSecond < 0
                || longPromptFraction < 0
                || longPromptFraction > 1) {
            throw new IllegalArgumentException("demand is not valid: prefill " + prefillTokensPerSecond + ", output "
                    + outputTokensPerSecond + " tokens/s, long prompt fraction " + longPromptFraction
                    + "; use rates of 0 or more and a fraction of 0 to 1");
        }
    }

    /** Returns the exponential moving average after an observation; {@code weight}, 0 to 1, is its weight. */
    public Demand smoothedTowards(Demand observed, double weight) {
        return new Demand(
                prefillTokensPerSecond + weight * (observed.prefillTokensPerSecond - prefillTokensPerSecond),
                outputTokensPerSecond + weight * (observed.outputTokensPerSecond - outputTokensPerSecond),
                longPromptFraction + weight * (observed.longPromptFraction - longPromptFraction));
    }
}
