package io.banyantally.internal.fleet;

import io.banyantally.model.AvailabilityZone;
import java.util.HashMap;
import java.util.Map;

/** How often the cheap upstreams of each zone were reclaimed, and when the zone last had none. Used by one thread. */
public final class ZoneHistory {
    /** Before anything was measured a zone is taken to lose its cheap upstreams about once in this many hours. */
    private static final double PRIOR_HOURS = 4;

    private static final double NANOS_PER_HOUR = 3.6e12;

    private final Map<AvailabilityZone, ZoneRecord> zones = new HashMap<>();

    private static final class ZoneRecord {
        private double upstreamHours;
        private double reclaimedUpstreams;
        private long refusedAt;
        private boolean refused;
    }

    /** Counts time that cheap upstreams ran in a zone. */
    public void addRunTime(AvailabilityZone zone, int upstreams, long nanos) {
        record(zone).upstreamHours += upstreams * (nanos / NANOS_PER_HOUR);
    }

    /** Counts cheap upstreams that were reclaimed. */
    public void addReclaims(AvailabilityZone zone, int upstreams) {
        record(zone).reclaimedUpstreams += upstreams;
    }

    /** Notes that a zone had no cheap upstream to order. */
    public void addRefusal(AvailabilityZone zone, long nanoTime) {
        ZoneRecord record = record(zone);
        record.refused = true;
        record.refusedAt = nanoTime;
    }

    /** Returns the reclaims that an upstream meets in an hour. */
    public double reclaimsPerHour(AvailabilityZone zone) {
        ZoneRecord record = record(zone);
        return (1 + record.reclaimedUpstreams) / (PRIOR_HOURS + record.upstreamHours);
    }

    /** Returns whether a zone refused an order within {@code nanos}. */
    public boolean refusedWithin(AvailabilityZone zone, long nanoTime, long nanos) {
        ZoneRecord record = record(zone);
        return record.refused && nanoTime - record.refusedAt < nanos;
    }

    private ZoneRecord record(AvailabilityZone zone) {
        return zones.computeIfAbsent(zone, unknown -> new ZoneRecord());
    }
}
