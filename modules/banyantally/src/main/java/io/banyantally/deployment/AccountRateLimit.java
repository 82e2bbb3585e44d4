package io.banyantally.deployment;

/**
 * The rate limit of a client account, over all VMs together.
 *
 * @param perSecond the units that the account may use a second on average
 * @param burst the units that it may use beyond the rate at once
 * @param plainRequestTokens the tokens that a request without token counts uses, if the unit is a token
 */
public record AccountRateLimit(double perSecond, double burst, Unit unit, int plainRequestTokens) {

    /** Rejects limits that are not finite or allow nothing. */
    public AccountRateLimit {
        if (!(perSecond > 0) || !(burst >= 0) || !Double.isFinite(perSecond) || !Double.isFinite(burst)) {
            throw new IllegalArgumentException(
                    "rate limit of " + perSecond + " a second and a burst of " + burst + " is out of range");
        }
        if (plainRequestTokens < 0) {
            throw new IllegalArgumentException("a plain request of " + plainRequestTokens + " tokens is out of range");
        }
    }

    /** What a rate limit counts. */
    public enum Unit {
        /** Requests, whatever their size. */
        REQUESTS,
        /** Prompt tokens and the most output tokens of requests. */
        TOKENS
    }
}
