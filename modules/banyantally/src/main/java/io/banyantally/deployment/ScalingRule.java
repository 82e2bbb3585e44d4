package io.banyantally.deployment;

import io.banyantally.model.AvailabilityZone;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;

/**
 * The bounds within which upstreams of a service are ordered.
 *
 * @param minimum the fewest upstreams in each availability zone
 * @param maximum the most upstreams in each availability zone, reclaimable ones included
 * @param bootTime the time from an order until the upstream serves
 * @param cheapPrice the price of a reclaimable upstream relative to others; empty if there are none
 * @param zonePrices the price of an upstream second by availability zone
 */
public record ScalingRule(
        int minimum,
        int maximum,
        Duration bootTime,
        Optional<Double> cheapPrice,
        Map<AvailabilityZone, Double> zonePrices) {

    /** Rejects a maximum below the minimum. */
    public ScalingRule {
        if (minimum < 0 || maximum < minimum) {
            throw new IllegalArgumentException("scaling bounds " + minimum + " to " + maximum + " are not a range");
        }
        zonePrices = Map.copyOf(zonePrices);
    }
}
