package io.banyantally.internal.placement;

import io.banyantally.model.AvailabilityZone;

/**
 * The cost of traffic from this VM to an upstream of another zone, as time of the caller, so that placement can add it
 * to an expected completion.
 *
 * @param own the zone of this VM
 * @param millisPerMegabyte the milliseconds of a caller's time that sending a million bytes between zones is worth; 0
 *     if placement ignores zones
 */
public record ZoneCost(AvailabilityZone own, double millisPerMegabyte) {

    private static final double BYTES_PER_MEGABYTE = 1e6;

    /** Rejects a price that would make every cost invalid. */
    public ZoneCost {
        if (!(millisPerMegabyte >= 0 && millisPerMegabyte < Double.POSITIVE_INFINITY)) {
            throw new IllegalArgumentException("the price of a megabyte is out of range: " + millisPerMegabyte);
        }
    }

    /** Returns whether bytes between zones have a price. */
    boolean isPriced() {
        return millisPerMegabyte > 0;
    }

    /** Returns what sending bytes between this VM and an upstream costs, in milliseconds. */
    public double millis(AvailabilityZone upstream, long bytes) {
        return millisBetween(own, upstream, bytes);
    }

    /** Returns what sending bytes between two upstreams costs, in milliseconds. */
    double millisBetween(AvailabilityZone from, AvailabilityZone to, long bytes) {
        return from.equals(to) ? 0 : bytes / BYTES_PER_MEGABYTE * millisPerMegabyte;
    }
}
