package io.banyantally.deployment;

import io.banyantally.model.AvailabilityZone;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;

/**
 * Bounds and prices for ordering upstreams of a service.
 *
 * @param minimum the fewest upstreams in each availability zone
 * @param maximum the most upstreams in each availability zone, reclaimable ones included
 * @param bootTime the time from an order until the upstream serves
 * @param cheapPrice the price of a reclaimable upstream relative to a regular one; empty if there are none
 * @param zonePrices the price of an upstream per second, by availability zone
 */
public record ScalingRule(
        int minimum,
        int maximum,
        Duration bootTime,
        Optional<Double> cheapPrice,
        Map<AvailabilityZone, Double> zonePrices) {

    /** Rejects a negative minimum and a maximum below the minimum. */
    public ScalingRule {
        if (minimum < 0 || maximum < minimum) {
            throw new IllegalArgumentException("scaling bounds " + minimum + " to " + maximum
                    + " are not valid; use 0 or more and a maximum not below the minimum");
        }
        zonePrices = Map.copyOf(zonePrices);
    }
}
