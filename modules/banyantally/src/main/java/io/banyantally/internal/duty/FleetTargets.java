package io.banyantally.internal.duty;

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
 * <p>Answers the load of long prompts whose mix swings within seconds: an upstream that is ordered takes longer to start
 * than a swing lasts, so the capacity has to be there before. Reclaimable upstreams cost a fraction of the others, and
 * spreading them over all zones bounds what one reclaim takes away. One upstream that cannot be reclaimed stays in the
 * zone where it costs least, so that a reclaim of all zones leaves one.
 */
public final class FleetTargets {

    private FleetTargets() {}

    /**
     * Returns the orders that bring the service to its target, in the order in which they should be placed.
     *
     * @param replaced the zones in which others replace reclaimable upstreams that were taken away
     */
    public static List<FleetTarget> of(ScalingRule rule, Set<AvailabilityZone> replaced) {
        List<FleetTarget> targets = new ArrayList<>();
        List<Map.Entry<AvailabilityZone, Double>> zones = rule.zonePrices().entrySet().stream()
                .sorted(Map.Entry.<AvailabilityZone, Double>comparingByValue()
                        .thenComparing(Map.Entry.comparingByKey(Comparator.comparing(AvailabilityZone::value))))
                .toList();
        for (Map.Entry<AvailabilityZone, Double> zone : zones) {
            int steady = rule.cheapPrice().isEmpty() ? rule.maximum() : zone.equals(zones.getFirst()) ? 1 : 0;
            int cheap = rule.cheapPrice().isPresent() ? Math.max(rule.maximum() - steady, 0) : 0;
            targets.add(new FleetTarget(zone.getKey(), true, cheap));
            // The bounds hold for both kinds together, so one place stays free for a reclaimable upstream to return.
            int replacing = replaced.contains(zone.getKey()) ? Math.max(steady, rule.maximum() - 1) : steady;
            targets.add(new FleetTarget(zone.getKey(), false, replacing));
        }
        return targets;
    }

    /**
     * A number of upstreams to run in an availability zone.
     *
     * @param cheap whether the platform may reclaim them
     */
    public record FleetTarget(AvailabilityZone zone, boolean cheap, int count) {}
}
