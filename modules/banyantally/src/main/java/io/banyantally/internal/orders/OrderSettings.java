package io.banyantally.internal.orders;

import java.time.Duration;

/**
 * Intervals and limits of engine orders and upstream orders.
 *
 * @param reconcileInterval the time between two reconciliations of targets and actual state
 * @param readInterval the time between two reads of an engine while a change is in progress
 * @param verifyInterval the time between two reads of an engine otherwise, to detect a restart
 * @param retryDelay the time before an order that is known to have failed is sent again
 * @param maximumEffectDelay the time after which an order with an unknown outcome can no longer take effect: the
 *     receiver's read timeout plus the longest processing time of an order
 * @param maximumConcurrentChanges the largest number of engines of one scope that change at the same time
 */
public record OrderSettings(
        Duration reconcileInterval,
        Duration readInterval,
        Duration verifyInterval,
        Duration retryDelay,
        Duration maximumEffectDelay,
        int maximumConcurrentChanges) {

    /** The default settings; changing one engine at a time limits the loss of capacity. */
    public static final OrderSettings DEFAULT = new OrderSettings(
            Duration.ofMillis(500),
            Duration.ofSeconds(1),
            Duration.ofSeconds(5),
            Duration.ofSeconds(2),
            Duration.ofSeconds(5),
            1);

    /** Rejects a limit below 1, which would block all changes. */
    public OrderSettings {
        if (maximumConcurrentChanges < 1) {
            throw new IllegalArgumentException(
                    "maximum of concurrent engine changes is " + maximumConcurrentChanges + "; must be at least 1");
        }
    }
}
