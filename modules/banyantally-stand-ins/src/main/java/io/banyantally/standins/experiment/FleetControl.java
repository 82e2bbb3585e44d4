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

/** Carries out the planners' decisions on the simulated fleet, as the scope owners do on a real one. */
final class FleetControl {
    private static final long ROLE_ROUND = TraceGenerator.SECOND;
    private static final long FLEET_ROUND = 2 * TraceGenerator.SECOND;
    private static final Duration LOST_BY_CHANGE = Duration.ofSeconds(9);
    private static final long LONGEST_DRAIN = 8 * TraceGenerator.SECOND;
    private static final int LONG_PROMPT_TOKENS = 12_000;
    private static final double FLEET_SMOOTHING = 0.05;
    private static final EngineRates RATES = new EngineRates(20_000, 2_300, 16_000, 2_100);
    private static final FleetRules RULES = new FleetRules(
            4, Site.ENGINES, SimulatedFleet.REGULAR_PRICE, SimulatedFleet.CHEAP_PRICE, Duration.ofSeconds(60), 20);

    private final Simulation simulation;
    private final RolePlanner roles = new RolePlanner(RATES, LOST_BY_CHANGE);
    private final ZoneHistory history = new ZoneHistory();
    private final FleetPlanner planner = new FleetPlanner(RULES, history);
    private double prefillTokens;
    private double longPrefillTokens;
    private double outputTokens;
    private double needed = RULES.maximum();
    private long nextRoleRound = ROLE_ROUND;
    private long nextFleetRound = FLEET_ROUND;
    private int roleChanges;
    private boolean reclaimNoted;

    FleetControl(Simulation simulation) {
        this.simulation = simulation;
    }

    void observe(WorkEstimate work, int promptTokens) {
        prefillTokens += work.promptTokens();
        longPrefillTokens += work.promptTokens() >= LONG_PROMPT_TOKENS ? work.promptTokens() : 0;
        outputTokens += work.outputTokens();
    }

    void tick(long now) {
        if (now >= nextRoleRound) {
            nextRoleRound = now + ROLE_ROUND;
            planRoles(now);
        }
        if (now >= nextFleetRound) {
            nextFleetRound = now + FLEET_ROUND;
            planFleet(now);
        }
    }

    private List<FleetUpstream> view(long now) {
        List<FleetUpstream> view = new ArrayList<>();
        for (SimulatedEngine engine : simulation.fleet().engines()) {
            if (now < engine.goneAt()) {
                FleetUpstream upstream = engine.fleetView(now, SimulatedFleet.price(engine));
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
        double seconds = ROLE_ROUND / (double) TraceGenerator.SECOND;
        double longPart = prefillTokens == 0 ? 0 : longPrefillTokens / prefillTokens;
        Demand observed = new Demand(prefillTokens / seconds, outputTokens / seconds, longPart);
        prefillTokens = 0;
        longPrefillTokens = 0;
        outputTokens = 0;
        double engines = observed.prefillTokensPerSecond() / EngineCosts.DEFAULT.prefillTokensPerSecond()
                + observed.outputTokensPerSecond() / RATES.decodeAlone();
        needed += FLEET_SMOOTHING * (engines - needed);
        for (RoleChange change : roles.plan(now, observed, view(now))) {
            roleChanges++;
            SimulatedEngine engine = simulation.fleet().engine(change.upstream());
            simulation.fleet().drain(engine, now);
            changeWhenDrained(engine, change.role(), now + LONGEST_DRAIN);
        }
    }

    private void changeWhenDrained(SimulatedEngine engine, EngineRole role, long latest) {
        long now = simulation.now();
        if (engine.model().jobCount() == 0 || now >= latest) {
            engine.model().changeRole(role);
            simulation.after(
                    EngineCosts.DEFAULT.roleChangeNanos(),
                    () -> simulation.fleet().drained(engine, simulation.now()));
        } else {
            simulation.after(TraceGenerator.SECOND / 10, () -> changeWhenDrained(engine, role, latest));
        }
    }

    private void planFleet(long now) {
        noteHistory(now);
        for (FleetOrder order :
                planner.plan(now, needed, view(now), simulation.trace().site().zones())) {
            switch (order) {
                case FleetOrder.OrderOne one -> {
                    if (!simulation.fleet().order(one.zone(), one.cheap(), now)) {
                        history.addRefusal(one.zone(), now);
                    }
                }
                case FleetOrder.GiveBack back ->
                    simulation.fleet().engine(back.upstream()).leave(now, now + LONGEST_DRAIN, false);
                case FleetOrder.MoveWork move -> {
                    // The policy moves the streams as soon as the platform's list shows the notice.
                }
            }
        }
    }

    private void noteHistory(long now) {
        int reclaimed = 0;
        for (SimulatedEngine engine : simulation.fleet().running(now)) {
            if (engine.cheap()) {
                history.addRunTime(engine.zone(), 1, FLEET_ROUND);
            }
            reclaimed += engine.reclaimed() ? 1 : 0;
        }
        if (reclaimed > 0 && !reclaimNoted) {
            reclaimNoted = true;
            history.addReclaims(simulation.trace().reclaimedZone(), reclaimed);
        }
    }

    int roleChanges() {
        return roleChanges;
    }
}
