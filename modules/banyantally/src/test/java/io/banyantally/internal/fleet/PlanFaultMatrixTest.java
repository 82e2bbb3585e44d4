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

/** Guards against zones that act on plans that contradict each other, or on a plan after a later one. */
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

    private final PlanSimulation world = new PlanSimulation(Long.getLong("banyantally.seed", 1));
    private TestOwnedScope paused;

    static Stream<Arguments> faults() {
        return Stream.of(Step.values())
                .flatMap(first -> Stream.of(Fault.values())
                        .flatMap(one -> Stream.of(Step.values())
                                .flatMap(second ->
                                        Stream.of(Fault.values()).map(two -> Arguments.of(first, one, second, two)))));
    }

    @ParameterizedTest
    @MethodSource("faults")
    @FaultRow(promise = Promise.NO_CONFLICTING_ORDERS, step = "each two steps of a plan", fault = "each two faults")
    void allZonesFollowOnePlan(Step first, Fault one, Step second, Fault two) throws InterruptedException {
        for (int round = 0; round < 6; round++) {
            world.changeDemand();
            world.clock.advance(Duration.ofSeconds(6));
            for (Step step : Step.values()) {
                if (step == first && round == 2) {
                    inject(one);
                }
                if (step == second && round == 2) {
                    inject(two);
                }
                act(step);
            }
            if (round == 3) {
                world.platformDown = false;
                world.replacePlanOwner();
            }
        }
        assertEquals(List.of(), world.violations);
        assertTrue(world.highestFollowed() > 1, "no plan was followed");
    }

    private void act(Step step) throws InterruptedException {
        switch (step) {
            case PLAN -> world.planOnce();
            case PLAN_WRITTEN -> {
                if (paused != null) {
                    world.planAs(paused);
                }
            }
            case FIRST_ZONE_FOLLOWS -> world.follow(PlanSimulation.ZONES.getFirst());
            case ALL_ZONES_FOLLOW -> world.zonesFollow();
        }
    }

    private void inject(Fault fault) {
        switch (fault) {
            case NONE -> {}
            case PLAN_OWNER_REPLACED -> {
                world.owner.end();
                world.replacePlanOwner();
            }
            case PLAN_OWNER_PAUSED_AND_REPLACED -> {
                paused = world.owner;
                world.replacePlanOwner();
            }
            case ZONE_OWNER_REPLACED -> PlanSimulation.ZONES.forEach(world::replaceZoneOwner);
            case PLATFORM_DOWN -> world.platformDown = true;
            case ANSWER_LOST -> world.nextPlanFault = StoreFault.LOST_ANSWER;
            case REQUEST_LOST -> world.nextPlanFault = StoreFault.LOST_REQUEST;
        }
    }

    /** Guards against orders from a plan that nobody can confirm any more. */
    @Test
    @FaultRow(promise = Promise.NO_CONFLICTING_ORDERS, step = "following", fault = "platform down for long")
    void aPlanThatCannotBeReadAgainIsNotFollowedForLong() throws InterruptedException {
        world.changeDemand();
        world.planOnce();
        world.zonesFollow();
        world.platformDown = true;
        world.clock.advance(ZoneTargets.MAX_PLAN_AGE.plusSeconds(1));
        assertTrue(world.owners
                .get(PlanSimulation.ZONES.getFirst())
                .targets(FleetScopes.ordersOf(PlanSimulation.SERVICE, PlanSimulation.ZONES.getFirst()))
                .isEmpty());
    }
}
