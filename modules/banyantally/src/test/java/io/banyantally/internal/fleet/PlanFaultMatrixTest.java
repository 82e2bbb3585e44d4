package io.banyantally.internal.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.authority.TestOwnedScope;
import io.banyantally.internal.invariant.Promise;
import io.banyantally.testing.FaultRow;
import io.banyantally.testing.StoreFault;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against zones that apply conflicting plans, or an older plan after a newer one. */
final class PlanFaultMatrixTest {

    private enum Step {
        PLAN,
        PLAN_WRITTEN,
        FIRST_ZONE_FOLLOWS,
        ALL_ZONES_FOLLOW
    }

    private enum Fault {
        NONE,
        PLAN_OWNER_REPLACED,
        PLAN_OWNER_PAUSED_AND_REPLACED,
        ZONE_OWNER_REPLACED,
        PLATFORM_DOWN,
        ANSWER_LOST,
        REQUEST_LOST
    }

    private final PlanSimulation simulation = new PlanSimulation(Long.getLong("banyantally.seed", 1));
    private TestOwnedScope paused;

    static Stream<Arguments> faults() {
        return Stream.of(Step.values())
                .flatMap(firstStep -> Stream.of(Fault.values())
                        .flatMap(firstFault -> Stream.of(Step.values())
                                .flatMap(secondStep -> Stream.of(Fault.values())
                                        .map(secondFault ->
                                                Arguments.of(firstStep, firstFault, secondStep, secondFault)))));
    }

    @ParameterizedTest
    @MethodSource("faults")
    @FaultRow(promise = Promise.NO_CONFLICTING_ORDERS, step = "each two steps of a plan", fault = "each two faults")
    void allZonesApplyOnePlan(Step firstStep, Fault firstFault, Step secondStep, Fault secondFault)
            throws InterruptedException {
        for (int round = 0; round < 6; round++) {
            simulation.changeDemand();
            simulation.clock.advance(Duration.ofSeconds(6));
            for (Step step : Step.values()) {
                if (step == firstStep && round == 2) {
                    inject(firstFault);
                }
                if (step == secondStep && round == 2) {
                    inject(secondFault);
                }
                perform(step);
            }
            if (round == 3) {
                simulation.platformDown = false;
                simulation.replacePlanOwner();
            }
        }
        assertEquals(List.of(), simulation.violations);
        assertTrue(simulation.highestFollowed() > 1, "no plan was applied");
    }

    private void perform(Step step) throws InterruptedException {
        switch (step) {
            case PLAN -> simulation.planOnce();
            case PLAN_WRITTEN -> {
                if (paused != null) {
                    simulation.planAs(paused);
                }
            }
            case FIRST_ZONE_FOLLOWS -> simulation.follow(PlanSimulation.ZONES.getFirst());
            case ALL_ZONES_FOLLOW -> simulation.zonesFollow();
        }
    }

    private void inject(Fault fault) {
        switch (fault) {
            case NONE -> {}
            case PLAN_OWNER_REPLACED -> {
                simulation.owner.end();
                simulation.replacePlanOwner();
            }
            case PLAN_OWNER_PAUSED_AND_REPLACED -> {
                paused = simulation.owner;
                simulation.replacePlanOwner();
            }
            case ZONE_OWNER_REPLACED -> PlanSimulation.ZONES.forEach(simulation::replaceZoneOwner);
            case PLATFORM_DOWN -> simulation.platformDown = true;
            case ANSWER_LOST -> simulation.nextPlanFault = StoreFault.LOST_ANSWER;
            case REQUEST_LOST -> simulation.nextPlanFault = StoreFault.LOST_REQUEST;
        }
    }

    /** Guards against orders by a plan that can no longer be read, and so may have been replaced. */
    @Test
    @FaultRow(promise = Promise.NO_CONFLICTING_ORDERS, step = "following", fault = "platform down for long")
    void planThatCannotBeReadAgainExpires() throws InterruptedException {
        simulation.changeDemand();
        simulation.planOnce();
        simulation.zonesFollow();
        simulation.platformDown = true;
        simulation.clock.advance(ZoneTargets.MAXIMUM_PLAN_AGE.plusSeconds(1));
        assertTrue(simulation
                .owners
                .get(PlanSimulation.ZONES.getFirst())
                .targets(FleetScopes.ordersOf(PlanSimulation.SERVICE, PlanSimulation.ZONES.getFirst()))
                .isEmpty());
    }
}
