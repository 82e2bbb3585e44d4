package io.banyantally.internal.fleet;

import io.banyantally.model.AvailabilityZone;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Decides by cost which upstreams to order and to give back. Cheap upstreams are used where their price, plus the
 * expected cost of work lost to reclaims, is below the regular price, and only so many in a zone that the service
 * survives the loss of all cheap upstreams of that zone. Not thread-safe.
 */
public final class FleetPlanner {
    /** Target utilisation; above it bursts miss their latency targets. */
    private static final double TARGET_UTILISATION = 0.75;

    /**
     * An upstream is given back only if the rest would stay below this, so that a small rise of demand needs no new
     * order.
     */
    private static final double MAXIMUM_UTILISATION_AFTER_GIVE_BACK = 0.6;

    /** After the loss of all cheap upstreams of any one zone, the rest must carry the demand at this utilisation. */
    private static final double MAXIMUM_UTILISATION_AFTER_ZONE_LOSS = 1.0;

    private static final Duration REFUSED_ZONE_RETRY_DELAY = Duration.ofSeconds(60);
    private static final double SECONDS_PER_HOUR = 3_600;

    private final FleetRules rules;
    private final ZoneHistory history;

    /** Creates a planner that rates the zones by a shared history of reclaims. */
    public FleetPlanner(FleetRules rules, ZoneHistory history) {
        this.rules = rules;
        this.history = history;
    }

    /**
     * Returns what to do now; at most one upstream is ordered or given back in a round.
     *
     * @param neededEngines number of engines that the demand needs at full utilisation, forecast over the start time
     */
    public List<FleetOrder> plan(
            long nanoTime, double neededEngines, List<FleetUpstream> upstreams, List<AvailabilityZone> zones) {
        List<FleetOrder> orders = new ArrayList<>();
        upstreams.stream()
                .filter(upstream -> upstream.running() && upstream.leaving() && upstream.cheap())
                .forEach(upstream -> orders.add(new FleetOrder.MoveWork(upstream.id())));
        List<FleetUpstream> notLeaving =
                upstreams.stream().filter(upstream -> !upstream.leaving()).toList();
        int wanted = (int) Math.ceil(neededEngines / TARGET_UTILISATION);
        int target = Math.clamp(wanted, rules.minimum(), rules.maximum());
        boolean survivesLoss = survivesLossOfAnyZone(neededEngines, notLeaving);
        if (notLeaving.size() < target || (!survivesLoss && notLeaving.size() < rules.maximum())) {
            orders.add(nextOrder(nanoTime, neededEngines, notLeaving, zones));
        } else if (notLeaving.size() > target) {
            giveBack(neededEngines, notLeaving).ifPresent(orders::add);
        }
        return orders;
    }

    private FleetOrder nextOrder(
            long nanoTime, double neededEngines, List<FleetUpstream> notLeaving, List<AvailabilityZone> zones) {
        List<AvailabilityZone> byCost = zones.stream()
                .sorted(Comparator.comparingDouble(this::cheapCostPerHour)
                        .thenComparingLong(zone -> countCheapIn(notLeaving, zone))
                        .thenComparing(AvailabilityZone::value))
                .toList();
        for (AvailabilityZone zone : byCost) {
            boolean available = !history.refusedWithin(zone, nanoTime, REFUSED_ZONE_RETRY_DELAY.toNanos());
            if (available
                    && cheapCostPerHour(zone) < rules.regularPrice()
                    && survivesLossWithCheapIn(neededEngines, notLeaving, zone)) {
                return new FleetOrder.OrderOne(zone, true);
            }
        }
        AvailabilityZone smallestZone = zones.stream()
                .min(Comparator.<AvailabilityZone>comparingLong(zone -> countIn(notLeaving, zone))
                        .thenComparing(AvailabilityZone::value))
                .orElseThrow();
        return new FleetOrder.OrderOne(smallestZone, false);
    }

    /** Returns the hourly price of a cheap upstream plus the expected cost of work lost to reclaims. */
    private double cheapCostPerHour(AvailabilityZone zone) {
        double lostSeconds = history.reclaimsPerHour(zone)
                * (rules.reclaimLossSeconds() + rules.startTime().toSeconds());
        return rules.cheapPrice() + rules.regularPrice() * lostSeconds / SECONDS_PER_HOUR;
    }

    private boolean survivesLossWithCheapIn(
            double neededEngines, List<FleetUpstream> notLeaving, AvailabilityZone zone) {
        long remaining = notLeaving.size() - countCheapIn(notLeaving, zone);
        return neededEngines <= remaining * MAXIMUM_UTILISATION_AFTER_ZONE_LOSS;
    }

    private boolean survivesLossOfAnyZone(double neededEngines, List<FleetUpstream> notLeaving) {
        return notLeaving.stream()
                .map(FleetUpstream::zone)
                .distinct()
                .allMatch(zone -> neededEngines
                        <= (notLeaving.size() - countCheapIn(notLeaving, zone)) * MAXIMUM_UTILISATION_AFTER_ZONE_LOSS);
    }

    private Optional<FleetOrder> giveBack(double neededEngines, List<FleetUpstream> notLeaving) {
        if (neededEngines > (notLeaving.size() - 1) * MAXIMUM_UTILISATION_AFTER_GIVE_BACK) {
            return Optional.empty();
        }
        return notLeaving.stream()
                .filter(FleetUpstream::stays)
                .filter(upstream -> survivesLossOfAnyZone(
                        neededEngines,
                        notLeaving.stream()
                                .filter(other -> !other.id().equals(upstream.id()))
                                .toList()))
                .max(Comparator.comparingDouble(FleetUpstream::pricePerHour).thenComparing(FleetUpstream::id))
                .map(upstream -> new FleetOrder.GiveBack(upstream.id()));
    }

    private static long countCheapIn(List<FleetUpstream> upstreams, AvailabilityZone zone) {
        return upstreams.stream()
                .filter(upstream -> upstream.cheap() && upstream.zone().equals(zone))
                .count();
    }

    private static long countIn(List<FleetUpstream> upstreams, AvailabilityZone zone) {
        return upstreams.stream()
                .filter(upstream -> upstream.zone().equals(zone))
                .count();
    }
}
