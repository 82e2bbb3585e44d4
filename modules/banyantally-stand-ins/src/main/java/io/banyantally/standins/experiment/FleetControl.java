package io.banyantally.standins.experiment;

import io.banyantally.internal.admission.WorkEstimate;
import io.banyantally.internal.fleet.Demand;
import io.banyantally.internal.fleet.EngineRates;
import io.banyantally.internal.fleet.FleetOrder;
import io.banyantally.internal.fleet.FleetPlanner;
import io.banyantally.internal.fleet.FleetRules;
import io.banyantally.internal.fleet.FleetUpstream;
import io.banyantally.internal.fleet.RoleChange;
import io.banyantally.internal.fleet.RolePlanner;
import io.banyantally.internal.fleet.ZoneHistory;
import io.banyantally.standins.engine.EngineCosts;
import io.banyantally.upstream.EngineRole;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Applies the planners' decisions to the simulated fleet, as the scope owners do on a real one. */
final class FleetControl {
    private static final long ROLE_PLAN_INTERVAL_NANOS = TraceGenerator.NANOS_PER_SECOND;
    private static final long FLEET_PLAN_INTERVAL_NANOS = 2 * TraceGenerator.NANOS_PER_SECOND;
    private static final Duration ROLE_CHANGE_LOSS = Duration.ofSeconds(9);
    private static final long MAXIMUM_DRAIN_NANOS = 8 * TraceGenerator.NANOS_PER_SECOND;
    private static final int LONG_PROMPT_TOKENS = 12_000;
    private static final double FLEET_SMOOTHING = 0.05;
    private static final EngineRates RATES = new EngineRates(20_000, 2_300, 16_000, 2_100);
    private static final FleetRules RULES = new FleetRules(
            4, Site.ENGINES, SimulatedFleet.REGULAR_PRICE, SimulatedFleet.CHEAP_PRICE, Duration.ofSeconds(60), 20);

    private final Simulation simulation;
    private final RolePlanner roles = new RolePlanner(RATES, ROLE_CHANGE_LOSS);
    private final ZoneHistory history = new ZoneHistory();
    private final FleetPlanner planner = new FleetPlanner(RULES, history);
    private double prefillTokens;
    private double longPrefillTokens;
    private double outputTokens;
    private double neededEngines = RULES.maximum();
    private long nextRolePlan = ROLE_PLAN_INTERVAL_NANOS;
    private long nextFleetPlan = FLEET_PLAN_INTERVAL_NANOS;
    private int roleChanges;
    private boolean reclaimRecorded;

    FleetControl(Simulation simulation) {
        this.simulation = simulation;
    }

    void observe(WorkEstimate work, int promptTokens) {
        prefillTokens += work.promptTokens();
        longPrefillTokens += work.promptTokens() >= LONG_PROMPT_TOKENS ? work.promptTokens() : 0;
        outputTokens += work.outputTokens();
    }

    void tick(long now) {
        if (now >= nextRolePlan) {
            nextRolePlan = now + ROLE_PLAN_INTERVAL_NANOS;
            planRoles(now);
        }
        if (now >= nextFleetPlan) {
            nextFleetPlan = now + FLEET_PLAN_INTERVAL_NANOS;
            planFleet(now);
        }
    }

    private List<FleetUpstream> fleetView(long now) {
        List<FleetUpstream> view = new ArrayList<>();
        for (SimulatedEngine engine : simulation.fleet().engines()) {
            if (now < engine.terminatesAt()) {
                FleetUpstream upstream = engine.toFleetUpstream(now, SimulatedFleet.price(engine));
                boolean changing = upstream.changing() || simulation.fleet().isDraining(engine);
                view.add(new FleetUpstream(
                        upstream.id(),
                        upstream.zone(),
                        upstream.role(),
                        upstream.cheap(),
                        upstream.running(),
                        upstream.leaving(),
                        changing,
                        upstream.pricePerHour()));
            }
        }
        return view;
    }

    private void planRoles(long now) {
        double seconds = ROLE_PLAN_INTERVAL_NANOS / (double) TraceGenerator.NANOS_PER_SECOND;
        double longShare = prefillTokens == 0 ? 0 : longPrefillTokens / prefillTokens;
        Demand observed = new Demand(prefillTokens / seconds, outputTokens / seconds, longShare);
        prefillTokens = 0;
        longPrefillTokens = 0;
        outputTokens = 0;
        double engines = observed.prefillTokensPerSecond() / EngineCosts.DEFAULT.prefillTokensPerSecond()
                + observed.outputTokensPerSecond() / RATES.decodeAlone();
        neededEngines += FLEET_SMOOTHING * (engines - neededEngines);
        for (RoleChange change : roles.plan(now, observed, fleetView(now))) {
            roleChanges++;
            SimulatedEngine engine = simulation.fleet().engine(change.upstream());
            simulation.fleet().drain(engine, now);
            changeWhenDrained(engine, change.role(), now + MAXIMUM_DRAIN_NANOS);
        }
    }

    private void changeWhenDrained(SimulatedEngine engine, EngineRole role, long deadline) {
        long now = simulation.now();
        if (engine.model().jobCount() == 0 || now >= deadline) {
            engine.model().changeRole(role);
            simulation.runAfter(
                    EngineCosts.DEFAULT.roleChangeNanos(),
                    () -> simulation.fleet().drained(engine, simulation.now()));
        } else {
            simulation.runAfter(TraceGenerator.NANOS_PER_SECOND / 10, () -> changeWhenDrained(engine, role, deadline));
        }
    }

    private void planFleet(long now) {
        recordHistory(now);
        for (FleetOrder order : planner.plan(
                now, neededEngines, fleetView(now), simulation.trace().site().zones())) {
            switch (order) {
                case FleetOrder.OrderOne one -> {
                    if (!simulation.fleet().order(one.zone(), one.cheap(), now)) {
                        history.addRefusal(one.zone(), now);
                    }
                }
                case FleetOrder.GiveBack back ->
                    simulation.fleet().engine(back.upstream()).leave(now, now + MAXIMUM_DRAIN_NANOS, false);
                case FleetOrder.MoveWork move -> {
                    // The policy moves the streams as soon as the upstream list shows the engine as leaving.
                }
            }
        }
    }

    private void recordHistory(long now) {
        int reclaimed = 0;
        for (SimulatedEngine engine : simulation.fleet().running(now)) {
            if (engine.cheap()) {
                history.addRunTime(engine.zone(), 1, FLEET_PLAN_INTERVAL_NANOS);
            }
            reclaimed += engine.reclaimed() ? 1 : 0;
        }
        if (reclaimed > 0 && !reclaimRecorded) {
            reclaimRecorded = true;
            history.addReclaims(simulation.trace().reclaimedZone(), reclaimed);
        }
    }

    int roleChanges() {
        return roleChanges;
    }
}
