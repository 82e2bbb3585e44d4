package io.banyantally.internal.fleet;

import java.time.Duration;

/**
 * Limits and prices that the fleet planner works with.
 *
 * @param minimum upstreams that the service keeps at least
 * @param maximum upstreams that it may have at most
 * @param regularPrice price of a regular upstream an hour
 * @param cheapPrice price of a cheap upstream an hour
 * @param startTime how long an ordered upstream takes until it serves
 * @param reclaimLossSeconds engine seconds that a reclaim costs, for moved and repeated work
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
