package io.banyantally.internal.fleet;

import io.banyantally.model.AvailabilityZone;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Decides which upstreams to order and to give back, by cost. Cheap upstreams are used where their price, with the work
 * that reclaims are expected to cost, is below the regular one, and only so many in a zone that the service survives
 * the loss of all cheap upstreams of that zone. Used by one thread at a time.
 */
public final class FleetPlanner {
    /** Utilisation that is aimed for; above it bursts miss their targets. */
    private static final double TARGET_UTILISATION = 0.75;

    /**
     * An upstream is given back only if the rest would stay below this, so that a small swing back needs no new order.
     */
    private static final double MAX_UTILISATION_AFTER_GIVE_BACK = 0.6;

    /** Without the cheap upstreams of any one zone, the rest must carry the demand at this utilisation. */
    private static final double MAX_UTILISATION_AFTER_ZONE_LOSS = 1.0;

    private static final Duration REFUSED_ZONE_RETRY_DELAY = Duration.ofSeconds(60);
    private static final double SECONDS_PER_HOUR = 3_600;

    private final FleetRules rules;
    private final ZoneHistory history;

    /** Creates a planner that learns from a shared history of reclaims. */
    public FleetPlanner(FleetRules rules, ZoneHistory history) {
        this.rules = rules;
        this.history = history;
    }

    /**
     * Returns what to do now; at most one upstream is ordered or given back in a round.
     *
     * @param neededEngines engines' worth of demand, at full utilisation, forecast over the start time
     */
    public List<FleetOrder> plan(
            long nanoTime, double neededEngines, List<FleetUpstream> upstreams, List<AvailabilityZone> zones) {
        List<FleetOrder> orders = new ArrayList<>();
        upstreams.stream()
                .filter(upstream -> upstream.running() && upstream.leaving() && upstream.cheap())
                .forEach(upstream -> orders.add(new FleetOrder.MoveWork(upstream.id())));
        List<FleetUpstream> kept =
                upstreams.stream().filter(upstream -> !upstream.leaving()).toList();
        int wanted = (int) Math.ceil(neededEngines / TARGET_UTILISATION);
        int target = Math.clamp(wanted, rules.minimum(), rules.maximum());
        boolean survivesLoss = survivesLossOfAnyZone(neededEngines, kept);
        if (kept.size() < target || (!survivesLoss && kept.size() < rules.maximum())) {
            orders.add(nextOrder(nanoTime, neededEngines, kept, zones));
        } else if (kept.size() > target) {
            giveBack(neededEngines, kept).ifPresent(orders::add);
        }
        return orders;
    }

    private FleetOrder nextOrder(
            long nanoTime, double neededEngines, List<FleetUpstream> kept, List<AvailabilityZone> zones) {
        List<AvailabilityZone> byRisk = zones.stream()
                .sorted(Comparator.comparingDouble(this::cheapCostPerHour)
                        .thenComparingLong(zone -> countCheapIn(kept, zone))
                        .thenComparing(AvailabilityZone::value))
                .toList();
        for (AvailabilityZone zone : byRisk) {
            boolean available = !history.refusedWithin(zone, nanoTime, REFUSED_ZONE_RETRY_DELAY.toNanos());
            if (available
                    && cheapCostPerHour(zone) < rules.regularPrice()
                    && survivesLossWithCheapIn(neededEngines, kept, zone)) {
                return new FleetOrder.OrderOne(zone, true);
            }
        }
        AvailabilityZone emptiest = zones.stream()
                .min(Comparator.<AvailabilityZone>comparingLong(zone -> countIn(kept, zone))
                        .thenComparing(AvailabilityZone::value))
                .orElseThrow();
        return new FleetOrder.OrderOne(emptiest, false);
    }

    /** Returns what a cheap upstream costs an hour with the work that its reclaims are expected to cost. */
    private double cheapCostPerHour(AvailabilityZone zone) {
        double lostSeconds = history.reclaimsPerHour(zone)
                * (rules.reclaimLossSeconds() + rules.startTime().toSeconds());
        return rules.cheapPrice() + rules.regularPrice() * lostSeconds / SECONDS_PER_HOUR;
    }

    private boolean survivesLossWithCheapIn(double neededEngines, List<FleetUpstream> kept, AvailabilityZone zone) {
        long left = kept.size() - countCheapIn(kept, zone);
        return neededEngines <= left * MAX_UTILISATION_AFTER_ZONE_LOSS;
    }

    private boolean survivesLossOfAnyZone(double neededEngines, List<FleetUpstream> kept) {
        return kept.stream()
                .map(FleetUpstream::zone)
                .distinct()
                .allMatch(zone ->
                        neededEngines <= (kept.size() - countCheapIn(kept, zone)) * MAX_UTILISATION_AFTER_ZONE_LOSS);
    }

    private Optional<FleetOrder> giveBack(double neededEngines, List<FleetUpstream> kept) {
        if (neededEngines > (kept.size() - 1) * MAX_UTILISATION_AFTER_GIVE_BACK) {
            return Optional.empty();
        }
        return kept.stream()
                .filter(FleetUpstream::stays)
                .filter(upstream -> survivesLossOfAnyZone(
                        neededEngines,
                        kept.stream()
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
