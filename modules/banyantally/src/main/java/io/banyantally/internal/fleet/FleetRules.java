package io.banyantally.internal.fleet;

import java.time.Duration;

/**
 * Limits and prices for the fleet planner.
 *
 * @param minimum the fewest upstreams of the service
 * @param maximum the most upstreams of the service
 * @param regularPrice price of a regular upstream per hour
 * @param cheapPrice price of a cheap upstream per hour
 * @param startTime how long an ordered upstream takes until it serves
 * @param reclaimLossSeconds engine seconds lost to a reclaim, for moved and repeated work
 */
public record FleetRules(
        int minimum,
        int maximum,
        double regularPrice,
        double cheapPrice,
        Duration startTime,
        double reclaimLossSeconds) {
    /** Rejects limits that contradict each other. */
    public FleetRules {
        if (minimum < 1 || maximum < minimum) {
            throw new IllegalArgumentException("fleet limits " + minimum + " to " + maximum
                    + " are not valid; use 1 or more and a maximum not below the minimum");
        }
    }
}
