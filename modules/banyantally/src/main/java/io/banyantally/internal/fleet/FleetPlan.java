package io.banyantally.internal.fleet;

import io.banyantally.internal.orders.ScopeTargets;
import io.banyantally.internal.peer.MessagePackCodec;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.UpstreamId;
import io.banyantally.upstream.EngineTarget;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The plan of a service for all zones, as stored in the record of its scope.
 *
 * @param number increases with every plan of the service, across owners
 */
record FleetPlan(long number, List<ZonePlan> zones) {

    static final MessagePackCodec<FleetPlan> CODEC = MessagePackCodec.of(FleetPlan.class);

    static final FleetPlan NONE = new FleetPlan(0, List.of());

    /** Copies the list. */
    FleetPlan {
        zones = List.copyOf(zones);
    }

    /** How many upstreams a zone should have, and the targets of its engines. */
    record ZonePlan(AvailabilityZone zone, int cheap, int regular, List<EnginePlan> engines) {

        /** Copies the list. */
        ZonePlan {
            engines = List.copyOf(engines);
        }
    }

    record EnginePlan(UpstreamId engine, EngineTarget target) {}

    Optional<ScopeTargets> targetsIn(AvailabilityZone zone) {
        return zones.stream()
                .filter(plan -> plan.zone().equals(zone))
                .findFirst()
                .map(plan -> new ScopeTargets(enginesOf(plan), plan.cheap(), plan.regular()));
    }

    Optional<EngineTarget> target(UpstreamId engine) {
        return zones.stream()
                .flatMap(plan -> plan.engines().stream())
                .filter(plan -> plan.engine().equals(engine))
                .findFirst()
                .map(EnginePlan::target);
    }

    boolean hasSameTargets(FleetPlan other) {
        return zones.equals(other.zones);
    }

    private static Map<UpstreamId, EngineTarget> enginesOf(ZonePlan plan) {
        Map<UpstreamId, EngineTarget> engines = new HashMap<>();
        plan.engines().forEach(engine -> engines.put(engine.engine(), engine.target()));
        return engines;
    }
}
