package io.banyantally.internal.orders;

import java.time.Duration;

/**
 * The times and limits of orders.
 *
 * @param reconcileInterval the time between two comparisons of targets and reality
 * @param readInterval how often an engine is read while a change is under way
 * @param verifyInterval how often an engine is read otherwise, to notice a restart
 * @param retryDelay the time before an order that failed for certain is sent again
 * @param maximumEffectDelay after an unknown outcome, the time after which the order can no longer take effect: the
 *     receiver's read timeout plus the longest order
 * @param maximumConcurrentChanges how many engines of one scope change at the same time
 */
public record OrderSettings(
        Duration reconcileInterval,
        Duration readInterval,
        Duration verifyInterval,
        Duration retryDelay,
        Duration maximumEffectDelay,
        int maximumConcurrentChanges) {

    /** The values of the design; one engine at a time keeps the loss of capacity small. */
    public static final OrderSettings DEFAULT = new OrderSettings(
            Duration.ofMillis(500),
            Duration.ofSeconds(1),
            Duration.ofSeconds(5),
            Duration.ofSeconds(2),
            Duration.ofSeconds(5),
            1);

    /** Rejects a limit that would stop all changes. */
    public OrderSettings {
        if (maximumConcurrentChanges < 1) {
            throw new IllegalArgumentException(
                    "maximum changing engines " + maximumConcurrentChanges + " is too small; use 1 or more");
        }
    }
}
