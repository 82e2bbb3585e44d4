package io.banyantally.internal.fleet;

import io.banyantally.internal.configuration.ServiceKind;
import io.banyantally.internal.configuration.ServiceTemplate;
import io.banyantally.internal.fleet.FleetPlan.EnginePlan;
import io.banyantally.internal.fleet.FleetPlan.ZonePlan;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.UpstreamId;
import io.banyantally.upstream.EngineRole;
import io.banyantally.upstream.EngineTarget;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Builds the plans of one service during one ownership, from the decisions of the role planner and the fleet planner.
 */
final class FleetPlanBuilder {

    /**
     * The load of plain services is not measured. Between the give-back utilisation and the target utilisation of the
     * fleet planner, this value keeps their number of upstreams.
     */
    private static final double ASSUMED_PLAIN_UTILISATION = 0.7;

    /** A cheap upstream that is not listed this long after its order counts as refused. */
    private static final long ORDER_TIMEOUT_NANOS = 60_000_000_000L;

    private final FleetSettings settings;
    private final ZoneHistory history = new ZoneHistory();
    private final RolePlanner roles;
    private final Map<AvailabilityZone, CheapOrder> cheapOrders = new HashMap<>();
    private final Set<UpstreamId> reclaimed = new HashSet<>();
    private long lastRoundAt;
    private boolean hasRun;

    private record CheapOrder(int expected, long orderedAt) {}

    private record UpstreamKind(AvailabilityZone zone, boolean cheap) {}

    FleetPlanBuilder(FleetSettings settings) {
        this.settings = settings;
        this.roles = new RolePlanner(settings.rates(), settings.roleChangeTime());
    }

    /** Returns the next plan; its targets equal those of the previous one if nothing should change. */
    FleetPlan nextPlan(
            FleetPlan previous,
            ServiceTemplate template,
            Demand demand,
            List<FleetMember> members,
            List<AvailabilityZone> zones,
            long now) {
        updateHistory(members, now);
        List<FleetUpstream> upstreams =
                members.stream().map(member -> asPlanned(member, previous)).toList();
        Map<UpstreamId, EngineRole> changes = new HashMap<>();
        if (template.kind() == ServiceKind.MODEL) {
            roles.plan(now, demand, upstreams).forEach(change -> changes.put(change.upstream(), change.role()));
        }
        Map<UpstreamKind, Integer> counts = new HashMap<>();
        // Leaving upstreams are not counted, so the owner of their zone gives them back and orders replacements.
        upstreams.stream()
                .filter(upstream -> !upstream.leaving())
                .forEach(
                        upstream -> counts.merge(new UpstreamKind(upstream.zone(), upstream.cheap()), 1, Integer::sum));
        Set<UpstreamId> givenBack = applyFleetOrders(counts, template, demand, upstreams, zones, now);
        Map<AvailabilityZone, List<EnginePlan>> engines = new HashMap<>();
        for (FleetMember member : members) {
            FleetUpstream upstream = member.upstream();
            if (!upstream.leaving() && !givenBack.contains(upstream.id())) {
                target(member, previous, changes)
                        .ifPresent(target -> engines.computeIfAbsent(upstream.zone(), zone -> new ArrayList<>())
                                .add(new EnginePlan(upstream.id(), target)));
            }
        }
        return new FleetPlan(previous.number() + 1, zonePlans(counts, engines, zones));
    }

    private static List<ZonePlan> zonePlans(
            Map<UpstreamKind, Integer> counts,
            Map<AvailabilityZone, List<EnginePlan>> engines,
            List<AvailabilityZone> zones) {
        Map<AvailabilityZone, ZonePlan> plans = new TreeMap<>();
        for (AvailabilityZone zone : zones) {
            List<EnginePlan> enginePlans = new ArrayList<>(engines.getOrDefault(zone, List.of()));
            enginePlans.sort((one, other) -> one.engine().compareTo(other.engine()));
            plans.put(
                    zone,
                    new ZonePlan(
                            zone,
                            Math.max(0, counts.getOrDefault(new UpstreamKind(zone, true), 0)),
                            Math.max(0, counts.getOrDefault(new UpstreamKind(zone, false), 0)),
                            enginePlans));
        }
        return List.copyOf(plans.values());
    }

    private Set<UpstreamId> applyFleetOrders(
            Map<UpstreamKind, Integer> counts,
            ServiceTemplate template,
            Demand demand,
            List<FleetUpstream> upstreams,
            List<AvailabilityZone> zones,
            long now) {
        Set<UpstreamId> givenBack = new HashSet<>();
        FleetRules rules = new FleetRules(
                Math.max(1, template.minimumReplicas()),
                Math.max(1, template.maximumReplicas()),
                settings.regularPrice(),
                settings.cheapPrice(),
                settings.startTime(),
                settings.reclaimLossSeconds());
        double needed = neededEngines(template, demand, upstreams);
        for (FleetOrder order : new FleetPlanner(rules, history).plan(now, needed, upstreams, zones)) {
            switch (order) {
                case FleetOrder.OrderOne one -> {
                    int expected = counts.merge(new UpstreamKind(one.zone(), one.cheap()), 1, Integer::sum);
                    if (one.cheap()) {
                        cheapOrders.putIfAbsent(one.zone(), new CheapOrder(expected, now));
                    }
                }
                case FleetOrder.GiveBack back ->
                    upstreams.stream()
                            .filter(upstream -> upstream.id().equals(back.upstream()))
                            .forEach(upstream -> {
                                counts.merge(new UpstreamKind(upstream.zone(), upstream.cheap()), -1, Integer::sum);
                                givenBack.add(upstream.id());
                            });
                // The notice in the directory makes every VM stop using a reclaimed upstream, so no order is needed.
                case FleetOrder.MoveWork move -> givenBack.add(move.upstream());
            }
        }
        return givenBack;
    }

    private double neededEngines(ServiceTemplate template, Demand demand, List<FleetUpstream> upstreams) {
        if (template.kind() != ServiceKind.MODEL) {
            return ASSUMED_PLAIN_UTILISATION
                    * upstreams.stream().filter(upstream -> !upstream.leaving()).count();
        }
        return demand.prefillTokensPerSecond() / settings.rates().mixedPrefill()
                + demand.outputTokensPerSecond() / settings.rates().mixedDecode();
    }

    /** Returns the upstream with its planned role, so that a change in progress is neither repeated nor reverted. */
    private static FleetUpstream asPlanned(FleetMember member, FleetPlan previous) {
        FleetUpstream upstream = member.upstream();
        EngineRole role = previous.target(upstream.id()).map(EngineTarget::role).orElse(upstream.role());
        return new FleetUpstream(
                upstream.id(),
                upstream.zone(),
                role,
                upstream.cheap(),
                upstream.running(),
                upstream.leaving(),
                upstream.changing() || (member.state().isPresent() && role != upstream.role()),
                upstream.pricePerHour());
    }

    private static Optional<EngineTarget> target(
            FleetMember member, FleetPlan previous, Map<UpstreamId, EngineRole> changes) {
        UpstreamId id = member.upstream().id();
        Optional<EngineTarget> base = previous.target(id).or(member::state);
        return base.map(target -> new EngineTarget(
                target.model(), target.version(), target.adapters(), changes.getOrDefault(id, target.role())));
    }

    private void updateHistory(List<FleetMember> members, long now) {
        Map<AvailabilityZone, Integer> cheap = new HashMap<>();
        for (FleetMember member : members) {
            FleetUpstream upstream = member.upstream();
            if (upstream.cheap()) {
                cheap.merge(upstream.zone(), 1, Integer::sum);
                if (upstream.leaving() && reclaimed.add(upstream.id())) {
                    history.addReclaims(upstream.zone(), 1);
                }
            }
        }
        long elapsed = hasRun ? now - lastRoundAt : 0;
        cheap.forEach((zone, count) -> history.addRunTime(zone, count, elapsed));
        cheapOrders.entrySet().removeIf(entry -> {
            boolean listed =
                    cheap.getOrDefault(entry.getKey(), 0) >= entry.getValue().expected();
            boolean refused = !listed && now - entry.getValue().orderedAt() >= ORDER_TIMEOUT_NANOS;
            if (refused) {
                history.addRefusal(entry.getKey(), now);
            }
            return listed || refused;
        });
        lastRoundAt = now;
        hasRun = true;
    }
}
