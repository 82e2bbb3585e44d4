package io.banyantally.internal.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.invariant.Promise;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.internal.peer.Topic;
import io.banyantally.model.UpstreamId;
import io.banyantally.testing.FaultRow;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against work that is sent to an engine during a planned change, or is still running when the change begins.
 */
final class HoldFaultMatrixTest {

    private final HoldSimulation simulation = new HoldSimulation(Long.getLong("banyantally.seed", 1));

    private enum Step {
        BEFORE_HOLD,
        HOLD_REQUESTED,
        PARTLY_CONFIRMED,
        CHANGING,
        FINISHED
    }

    static Stream<Arguments> singleFaults() {
        return Stream.of(Step.values())
                .flatMap(step -> Stream.of(HoldFault.values()).map(fault -> Arguments.of(step, fault)));
    }

    static Stream<Arguments> pairsOfFaults() {
        List<Step> steps = List.of(Step.HOLD_REQUESTED, Step.PARTLY_CONFIRMED, Step.CHANGING);
        List<HoldFault> frequent = List.of(
                HoldFault.SENDER_KILLED,
                HoldFault.SENDER_PAUSED_LONGER_THAN_THE_HOLD,
                HoldFault.SENDER_CUT_FROM_OWNER,
                HoldFault.SENDER_CUT_FROM_ALL,
                HoldFault.SENDER_RESTARTED,
                HoldFault.OWNER_KILLED,
                HoldFault.OWNER_REPLACED);
        List<Arguments> rows = new ArrayList<>();
        for (Step step : steps) {
            for (HoldFault one : frequent) {
                for (Step later : steps) {
                    frequent.forEach(two -> rows.add(Arguments.of(step, one, later, two)));
                }
            }
        }
        return rows.stream();
    }

    @ParameterizedTest
    @MethodSource("singleFaults")
    @FaultRow(promise = Promise.NO_PLANNED_CUT, step = "each step of a hold", fault = "each fault")
    void noWorkRunsDuringAChangeWithOneFault(Step step, HoldFault fault) {
        runWithFaults(step, fault, step, HoldFault.NONE);
    }

    @ParameterizedTest
    @MethodSource("pairsOfFaults")
    @FaultRow(promise = Promise.NO_PLANNED_CUT, step = "each two steps of a hold", fault = "each two frequent faults")
    void noWorkRunsDuringAChangeWithTwoFaults(Step step, HoldFault fault, Step later, HoldFault other) {
        runWithFaults(step, fault, later, other);
    }

    private void runWithFaults(Step first, HoldFault fault, Step second, HoldFault other) {
        for (Step step : Step.values()) {
            advanceTo(step);
            if (step == first) {
                fault.inject(simulation);
            }
            if (step == second) {
                other.inject(simulation);
            }
        }
        runRounds(20, () -> false);
        assertEquals(List.of(), simulation.violations);
        simulation.hub.restoreAll();
        simulation.listedVms.removeIf(vm -> simulation.vms.stream()
                .noneMatch(one -> !one.killed && one.peer.vm().equals(vm)));
        if (!simulation.ownerVm.isRunning()) {
            simulation.run(Duration.ofSeconds(30));
            simulation.vms.stream()
                    .filter(HoldSimulationVm::isRunning)
                    .findFirst()
                    .ifPresent(simulation::assignOwner);
        }
        int before = simulation.changes;
        runRounds(500, () -> simulation.changes > before);
        assertTrue(simulation.changes > before, "no change is made after the faults have ended");
        assertEquals(List.of(), simulation.violations);
    }

    private void advanceTo(Step step) {
        switch (step) {
            case BEFORE_HOLD -> {}
            case HOLD_REQUESTED -> runRounds(1, () -> false);
            case PARTLY_CONFIRMED -> runRounds(1, () -> false);
            case CHANGING -> runRounds(60, () -> simulation.changing);
            case FINISHED -> runRounds(60, () -> !simulation.changing);
        }
    }

    private void runRounds(int most, BooleanSupplier reached) {
        for (int round = 0; round < most && !reached.getAsBoolean(); round++) {
            simulation.round(true);
        }
    }

    @Test
    @FaultRow(promise = Promise.NO_PLANNED_CUT, step = "changing", fault = "owner killed")
    void holdExpiresAfterItsOwnerDies() {
        runRounds(100, () -> simulation.changing);
        simulation.kill(simulation.ownerVm);
        simulation.listedVms.remove(simulation.ownerVm.peer.vm());
        simulation.run(UpstreamHolds.TIME_TO_LIVE.plusSeconds(2));
        assertTrue(simulation.vms.stream()
                .filter(HoldSimulationVm::isRunning)
                .allMatch(vm -> vm.table.heldUpstreams().isEmpty()));
    }

    /** Guards against a hold that expires during a long change although its owner is running. */
    @Test
    @FaultRow(promise = Promise.NO_PLANNED_CUT, step = "changing", fault = "change longer than the hold")
    void holdLastsWhileItsOwnerRenewsIt() {
        runRounds(100, () -> simulation.changing);
        simulation.changeEndsAt = simulation.clock.nanoTime()
                + UpstreamHolds.TIME_TO_LIVE.multipliedBy(2).toNanos();
        simulation.run(UpstreamHolds.TIME_TO_LIVE.plusSeconds(5));
        assertTrue(simulation.changing);
        assertEquals(List.of(), simulation.violations);
    }

    /** Guards against a VM that drops an expired hold after a long pause, although the owner renewed it meanwhile. */
    @Test
    @FaultRow(promise = Promise.NO_PLANNED_CUT, step = "changing", fault = "paused longer than the hold, then cut off")
    void resumedVmKeepsAnExpiredHoldUntilPeersHaveAnswered() {
        runRounds(100, () -> simulation.changing);
        simulation.changeEndsAt =
                simulation.clock.nanoTime() + Duration.ofSeconds(60).toNanos();
        simulation.pause(simulation.vms.getLast(), UpstreamHolds.TIME_TO_LIVE.plusSeconds(3));
        simulation.run(UpstreamHolds.TIME_TO_LIVE.plusSeconds(6));
        simulation.hub.restoreAll();
        simulation.run(Duration.ofSeconds(5));
        assertTrue(simulation.changing);
        assertEquals(List.of(), simulation.violations);
    }

    /** Guards against a delayed confirmation of an earlier owner's hold being counted for a later owner. */
    @Test
    @FaultRow(promise = Promise.NO_PLANNED_CUT, step = "hold asked", fault = "owner replaced and sender cut off")
    void confirmationOfAnEarlierHoldIsIgnored() throws PeerException {
        HoldSimulationVm sender = simulation.vms.getLast();
        HoldReport late = new HoldReport(
                sender.peer.vm().value(),
                sender.peer.incarnation().toString(),
                List.of(new HoldReport.HeldWork(
                        HoldSimulation.SCOPE.name(), HoldSimulation.UPSTREAM.value(), 1, 1_000, 0)));
        HoldSimulationVm successor = simulation.vms.get(1);
        sender.network.request(
                successor.peer.vm(),
                new Topic("routing.hold"),
                HoldMessage.CODEC.encode(new HoldMessage(false, List.of(), List.of(late))),
                Duration.ofSeconds(1));
        simulation.hub.isolate(sender.peer.vm());
        simulation.assignOwner(successor);
        runRounds(50, () -> simulation.changing);
        assertFalse(simulation.changing);
        assertEquals(List.of(), simulation.violations);
    }

    /**
     * Guards against counting the confirmation of a process that has been restarted; the new one has confirmed nothing.
     */
    @Test
    @FaultRow(promise = Promise.NO_PLANNED_CUT, step = "hold confirmed", fault = "sender restarted")
    void confirmationOfAnEarlierIncarnationIsIgnored() {
        runRounds(1, () -> false);
        simulation.run(Duration.ofSeconds(2));
        simulation.vms.forEach(HoldSimulationVm::endWork);
        simulation.vms.forEach(vm -> vm.holds.step());
        simulation.clock.advance(UpstreamHolds.ANNOUNCE_INTERVAL);
        simulation.vms.forEach(vm -> vm.holds.step());
        simulation.restart(simulation.vms.getLast());
        assertFalse(simulation.listener.prepareChange(HoldSimulation.UPSTREAM, HoldSimulation.TARGET));
    }

    /** Guards against two owners that both prepare the same change. */
    @Test
    @FaultRow(promise = Promise.NO_CONFLICTING_ORDERS, step = "hold confirmed", fault = "owner replaced")
    void replacedOwnerIsNotAllowedToChangeTheUpstream() {
        runRounds(2, () -> false);
        HoldTable table = simulation.ownerVm.table;
        long soon = simulation.clock.nanoTime() + Duration.ofSeconds(10).toNanos();
        table.putIfNewer(
                new HoldKey(HoldSimulation.SCOPE.name(), new UpstreamId("engine-2")), new Hold(99, 1, true, soon));
        runRounds(100, () -> simulation.changing);
        assertFalse(simulation.changing);
    }

    /** Guards against a delayed message of an earlier owner that ends the hold of the current one. */
    @Test
    @FaultRow(promise = Promise.NO_PLANNED_CUT, step = "hold confirmed", fault = "owner replaced")
    void messageOfAnEarlierOwnerDoesNotOverrideALaterOne() {
        HoldTable table = simulation.vms.getFirst().table;
        HoldKey key = new HoldKey("chat@south", HoldSimulation.UPSTREAM);
        long soon = simulation.clock.nanoTime() + Duration.ofSeconds(10).toNanos();
        assertTrue(table.putIfNewer(key, new Hold(2, 1, true, soon)));
        table.merge(List.of(new HoldRow("chat@south", "engine-1", 1, 99, false, 10_000)));
        assertTrue(table.heldUpstreams().contains(HoldSimulation.UPSTREAM));
        table.merge(List.of(new HoldRow("chat@south", "engine-2", 1, 100, true, 10_000)));
        assertEquals(1, table.heldUpstreams().size());
    }

    @Test
    @FaultRow(promise = Promise.LEAVING_GETS_NO_NEW_WORK, step = "sending", fault = "router with a stale choice")
    void gateRefusesAHeldUpstreamThatTheRouterStillChooses() {
        runRounds(100, () -> simulation.changing);
        runRounds(25, () -> false);
        assertTrue(simulation.changing);
        HoldSimulationVm vm = simulation.vms.getLast();
        long before = vm.invariants.violations(Promise.LEAVING_GETS_NO_NEW_WORK);
        assertFalse(vm.trySend());
        assertEquals(before + 1, vm.invariants.violations(Promise.LEAVING_GETS_NO_NEW_WORK));
    }
}
