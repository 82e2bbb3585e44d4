package io.banyantally.internal.fleet;

import io.banyantally.model.AvailabilityZone;
import java.util.HashMap;
import java.util.Map;

/** The reclaim rate of the cheap upstreams of each zone, and when the zone last refused an order. Not thread-safe. */
public final class ZoneHistory {
    /**
     * Prior of the reclaim rate: a cheap upstream of a zone without history is assumed to be reclaimed once in so many
     * hours.
     */
    private static final double PRIOR_UPSTREAM_HOURS = 4;

    private static final double NANOS_PER_HOUR = 3.6e12;

    private final Map<AvailabilityZone, ZoneRecord> zones = new HashMap<>();

    private static final class ZoneRecord {
        private double upstreamHours;
        private double reclaimedUpstreams;
        private long refusedAt;
        private boolean refused;
    }

    /** Adds the time that a number of cheap upstreams ran in a zone. */
    public void addRunTime(AvailabilityZone zone, int upstreams, long nanos) {
        record(zone).upstreamHours += upstreams * (nanos / NANOS_PER_HOUR);
    }

    /** Counts cheap upstreams that were reclaimed. */
    public void addReclaims(AvailabilityZone zone, int upstreams) {
        record(zone).reclaimedUpstreams += upstreams;
    }

    /** Records that a zone had no cheap upstream to order. */
    public void addRefusal(AvailabilityZone zone, long nanoTime) {
        ZoneRecord record = record(zone);
        record.refused = true;
        record.refusedAt = nanoTime;
    }

    /** Returns the expected reclaims of a cheap upstream per hour. */
    public double reclaimsPerHour(AvailabilityZone zone) {
        ZoneRecord record = record(zone);
        return (1 + record.reclaimedUpstreams) / (PRIOR_UPSTREAM_HOURS + record.upstreamHours);
    }

    /** Returns whether a zone refused an order in the last {@code nanos} nanoseconds. */
    public boolean refusedWithin(AvailabilityZone zone, long nanoTime, long nanos) {
        ZoneRecord record = record(zone);
        return record.refused && nanoTime - record.refusedAt < nanos;
    }

    private ZoneRecord record(AvailabilityZone zone) {
        return zones.computeIfAbsent(zone, unknown -> new ZoneRecord());
    }
}
