package io.banyantally.internal.placement;

import java.time.Duration;

/**
 * By what measure the rate limits of client accounts are kept: no window holds more than (rate x window + burst) x (1 +
 * excess) + slack.
 *
 * @param window the length of the window
 * @param excess the fraction beyond the limit that is tolerated
 * @param slackTokens the tokens beyond the limit that are tolerated
 */
public record AccountLimitRule(Duration window, double excess, double slackTokens) {

    /** Applies where the settings name no rule; without tolerance, as none is promised. */
    public static final AccountLimitRule DEFAULT = new AccountLimitRule(Duration.ofSeconds(8), 0, 0);

    /** Rejects values that are out of range. */
    public AccountLimitRule {
        if (window.toMillis() < 1) {
            throw new IllegalArgumentException("a window of " + window + " for account limits is out of range");
        }
        if (!(excess >= 0) || !(slackTokens >= 0) || !Double.isFinite(excess) || !Double.isFinite(slackTokens)) {
            throw new IllegalArgumentException(
                    "an excess of " + excess + " or a slack of " + slackTokens + " for account limits is out of range");
        }
    }
}
