package io.banyantally.internal.settings;

import io.banyantally.model.AvailabilityZone;

/** The one-way network latency to another availability zone, in milliseconds. */
public record ZoneDistance(AvailabilityZone zone, double milliseconds) {

    private static final double MAXIMUM_MILLISECONDS = 1_000;

    static ZoneDistance read(JsonFields fields) {
        return new ZoneDistance(
                fields.text("zone", "an availability zone", new AvailabilityZone("none"), AvailabilityZone::plain),
                fields.number("milliseconds", 0, MAXIMUM_MILLISECONDS, 1));
    }
}
