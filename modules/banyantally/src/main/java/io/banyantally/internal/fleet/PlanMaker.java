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

/** Makes the plans of one service during one ownership, with the role planner and the fleet planner. */
final class PlanMaker {

    /** Without a measure of its work, a plain service keeps its replicas: above what is ordered, below what is given back. */
    private static final double PLAIN_UTILISATION = 0.7;

    /** A cheap upstream that the list does not show after this time was refused. */
    private static final long REFUSAL_NANOS = 60_000_000_000L;

    private final FleetSettings settings;
    private final ZoneHistory history = new ZoneHistory();
    private final RolePlanner roles;
    private final Map<AvailabilityZone, CheapOrder> cheapOrders = new HashMap<>();
    private final Set<UpstreamId> reclaimed = new HashSet<>();
    private long lastRound;
    private boolean hasRun;

    private record CheapOrder(int expected, long since) {}

    private record Kind(AvailabilityZone zone, boolean cheap) {}

    PlanMaker(FleetSettings settings) {
        this.settings = settings;
        this.roles = new RolePlanner(settings.rates(), settings.lostByChange());
    }

    /** Returns the next plan; equal targets if nothing is to change. */
    FleetPlan next(
            FleetPlan previous,
            ServiceTemplate template,
            Demand demand,
            List<FleetMember> members,
            List<AvailabilityZone> zones,
            long now) {
        learn(members, now);
        List<FleetUpstream> planned =
                members.stream().map(member -> asPlanned(member, previous)).toList();
        Map<UpstreamId, EngineRole> changes = new HashMap<>();
        if (template.kind() == ServiceKind.MODEL) {
            roles.plan(now, demand, planned).forEach(change -> changes.put(change.upstream(), change.role()));
        }
        Map<Kind, Integer> counts = new HashMap<>();
        // Leaving upstreams are not counted, so the owner of their zone gives them back and orders others.
        planned.stream()
                .filter(upstream -> !upstream.leaving())
                .forEach(upstream -> counts.merge(new Kind(upstream.zone(), upstream.cheap()), 1, Integer::sum));
        Set<UpstreamId> givenBack = adjust(counts, template, demand, planned, zones, now);
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
            Map<Kind, Integer> counts, Map<AvailabilityZone, List<EnginePlan>> engines, List<AvailabilityZone> zones) {
        Map<AvailabilityZone, ZonePlan> plans = new TreeMap<>();
        for (AvailabilityZone zone : zones) {
            List<EnginePlan> inZone = new ArrayList<>(engines.getOrDefault(zone, List.of()));
            inZone.sort((one, other) -> one.engine().compareTo(other.engine()));
            plans.put(
                    zone,
                    new ZonePlan(
                            zone,
                            Math.max(0, counts.getOrDefault(new Kind(zone, true), 0)),
                            Math.max(0, counts.getOrDefault(new Kind(zone, false), 0)),
                            inZone));
        }
        return List.copyOf(plans.values());
    }

    private Set<UpstreamId> adjust(
            Map<Kind, Integer> counts,
            ServiceTemplate template,
            Demand demand,
            List<FleetUpstream> planned,
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
        double needed = neededEngines(template, demand, planned);
        for (FleetOrder order : new FleetPlanner(rules, history).plan(now, needed, planned, zones)) {
            switch (order) {
                case FleetOrder.OrderOne one -> {
                    int expected = counts.merge(new Kind(one.zone(), one.cheap()), 1, Integer::sum);
                    if (one.cheap()) {
                        cheapOrders.putIfAbsent(one.zone(), new CheapOrder(expected, now));
                    }
                }
                case FleetOrder.GiveBack back ->
                    planned.stream()
                            .filter(upstream -> upstream.id().equals(back.upstream()))
                            .forEach(upstream -> {
                                counts.merge(new Kind(upstream.zone(), upstream.cheap()), -1, Integer::sum);
                                givenBack.add(upstream.id());
                            });
                // A reclaimed upstream is left by the directory's notice, which every VM follows.
                case FleetOrder.MoveWork move -> givenBack.add(move.upstream());
            }
        }
        return givenBack;
    }

    private double neededEngines(ServiceTemplate template, Demand demand, List<FleetUpstream> planned) {
        if (template.kind() != ServiceKind.MODEL) {
            return PLAIN_UTILISATION
                    * planned.stream().filter(upstream -> !upstream.leaving()).count();
        }
        return demand.prefillTokensPerSecond() / settings.rates().mixedPrefill()
                + demand.outputTokensPerSecond() / settings.rates().mixedDecode();
    }

    /** The planners see the planned role, so that a change under way is neither repeated nor taken back. */
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

    private void learn(List<FleetMember> members, long now) {
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
        long passed = hasRun ? now - lastRound : 0;
        cheap.forEach((zone, count) -> history.addRunTime(zone, count, passed));
        cheapOrders.entrySet().removeIf(entry -> {
            boolean shown =
                    cheap.getOrDefault(entry.getKey(), 0) >= entry.getValue().expected();
            boolean refused = !shown && now - entry.getValue().since() >= REFUSAL_NANOS;
            if (refused) {
                history.addRefusal(entry.getKey(), now);
            }
            return shown || refused;
        });
        lastRound = now;
        hasRun = true;
    }
}
