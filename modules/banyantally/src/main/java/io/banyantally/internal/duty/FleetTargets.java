package io.banyantally.internal.duty;

import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.ScalingRule;
import io.banyantally.model.AvailabilityZone;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides how many upstreams of a service to run in each availability zone.
 *
 * <p>The load of long prompts varies within seconds, and an upstream takes longer to start than such a peak lasts, so
 * the capacity is provisioned in advance. Reclaimable upstreams cost a fraction of regular ones, and spreading them
 * over all zones limits the loss by one reclaim. One regular upstream runs in the zone where it costs least, so that a
 * reclaim in all zones leaves one.
 */
public final class FleetTargets {

    private FleetTargets() {}

    /**
     * Returns the target counts by zone and kind, in the order in which they should be ordered.
     *
     * @param replaced the zones in which regular upstreams replace reclaimable ones that were reclaimed
     */
    public static List<FleetTarget> of(ScalingRule rule, Set<AvailabilityZone> replaced) {
        return of(rule, replaced, rule.maximum());
    }

    /**
     * Returns the target counts for a number of upstreams in each zone.
     *
     * @param inZone the upstreams of both kinds together in each zone, at most the configured maximum
     */
    static List<FleetTarget> of(ScalingRule rule, Set<AvailabilityZone> replaced, int inZone) {
        List<FleetTarget> targets = new ArrayList<>();
        List<Map.Entry<AvailabilityZone, Double>> zones = rule.zonePrices().entrySet().stream()
                .sorted(Map.Entry.<AvailabilityZone, Double>comparingByValue()
                        .thenComparing(Map.Entry.comparingByKey(Comparator.comparing(AvailabilityZone::value))))
                .toList();
        for (Map.Entry<AvailabilityZone, Double> zone : zones) {
            int regular = rule.cheapPrice().isEmpty() ? inZone : zone.equals(zones.getFirst()) ? 1 : 0;
            int cheap = rule.cheapPrice().isPresent() ? Math.max(inZone - regular, 0) : 0;
            targets.add(new FleetTarget(zone.getKey(), true, cheap));
            // The maximum applies to both kinds together, so one place stays free for a reclaimable upstream to return.
            int regularWithReplacements = replaced.contains(zone.getKey())
                    ? Math.max(regular, Math.min(inZone, rule.maximum() - 1))
                    : regular;
            targets.add(new FleetTarget(zone.getKey(), false, regularWithReplacements));
        }
        return targets;
    }

    /**
     * A number of upstreams to run in an availability zone.
     *
     * @param cheap whether the platform may reclaim them
     */
    public record FleetTarget(AvailabilityZone zone, boolean cheap, int count) {

        /** Returns whether an upstream is of the zone and kind. */
        boolean includes(ReplicaEntry upstream) {
            return upstream.zone().equals(zone) && upstream.cheap() == cheap;
        }
    }
}
