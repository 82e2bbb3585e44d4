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

/** Guards against work that is sent to an engine while it changes, or is still running when the change begins. */
final class HoldFaultMatrixTest {

    private final HoldWorld world = new HoldWorld(Long.getLong("banyantally.seed", 1));

    private enum Step {
        BEFORE_HOLD,
        HOLD_ASKED,
        PARTLY_CONFIRMED,
        CHANGING,
        FINISHED
    }

    static Stream<Arguments> singleFaults() {
        return Stream.of(Step.values())
                .flatMap(step -> Stream.of(HoldFault.values()).map(fault -> Arguments.of(step, fault)));
    }

    static Stream<Arguments> pairsOfFaults() {
        List<Step> steps = List.of(Step.HOLD_ASKED, Step.PARTLY_CONFIRMED, Step.CHANGING);
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
    void noWorkMeetsAChangeUnderOneFault(Step step, HoldFault fault) {
        runWithFaults(step, fault, step, HoldFault.NONE);
    }

    @ParameterizedTest
    @MethodSource("pairsOfFaults")
    @FaultRow(promise = Promise.NO_PLANNED_CUT, step = "each two steps of a hold", fault = "each two frequent faults")
    void noWorkMeetsAChangeUnderTwoFaults(Step step, HoldFault fault, Step later, HoldFault other) {
        runWithFaults(step, fault, later, other);
    }

    private void runWithFaults(Step first, HoldFault fault, Step second, HoldFault other) {
        for (Step step : Step.values()) {
            reach(step);
            if (step == first) {
                fault.strike(world);
            }
            if (step == second) {
                other.strike(world);
            }
        }
        rounds(20, () -> false);
        assertEquals(List.of(), world.violations);
        world.hub.restoreAll();
        world.listed.removeIf(vm ->
                world.vms.stream().noneMatch(one -> !one.killed && one.peer.vm().equals(vm)));
        if (!world.ownerVm.runs()) {
            world.run(Duration.ofSeconds(30));
            world.vms.stream().filter(HoldVm::runs).findFirst().ifPresent(world::elect);
        }
        int before = world.changes;
        rounds(500, () -> world.changes > before);
        assertTrue(world.changes > before, "no change is made after the faults have ended");
        assertEquals(List.of(), world.violations);
    }

    private void reach(Step step) {
        switch (step) {
            case BEFORE_HOLD -> {}
            case HOLD_ASKED -> rounds(1, () -> false);
            case PARTLY_CONFIRMED -> rounds(1, () -> false);
            case CHANGING -> rounds(60, () -> world.changing);
            case FINISHED -> rounds(60, () -> !world.changing);
        }
    }

    private void rounds(int most, BooleanSupplier reached) {
        for (int round = 0; round < most && !reached.getAsBoolean(); round++) {
            world.round(true);
        }
    }

    @Test
    @FaultRow(promise = Promise.NO_PLANNED_CUT, step = "changing", fault = "owner killed")
    void aHoldEndsByItselfWhenItsOwnerIsGone() {
        rounds(100, () -> world.changing);
        world.kill(world.ownerVm);
        world.listed.remove(world.ownerVm.peer.vm());
        world.run(UpstreamHolds.TIME_TO_LIVE.plusSeconds(2));
        assertTrue(world.vms.stream()
                .filter(HoldVm::runs)
                .allMatch(vm -> vm.table.held().isEmpty()));
    }

    /** Guards against a long change during which the hold ends although its owner lives. */
    @Test
    @FaultRow(promise = Promise.NO_PLANNED_CUT, step = "changing", fault = "change longer than the hold")
    void aHoldLastsWhileItsOwnerRenewsIt() {
        rounds(100, () -> world.changing);
        world.changeEndsAt = world.clock.nanoTime()
                + UpstreamHolds.TIME_TO_LIVE.multipliedBy(2).toNanos();
        world.run(UpstreamHolds.TIME_TO_LIVE.plusSeconds(5));
        assertTrue(world.changing);
        assertEquals(List.of(), world.violations);
    }

    /** Guards against a VM that was paused for so long that its hold expired, although the owner renewed it meanwhile. */
    @Test
    @FaultRow(promise = Promise.NO_PLANNED_CUT, step = "changing", fault = "paused longer than the hold, then cut off")
    void aVmThatWakesKeepsAnExpiredHoldUntilItHasAskedItsPeers() {
        rounds(100, () -> world.changing);
        world.changeEndsAt = world.clock.nanoTime() + Duration.ofSeconds(60).toNanos();
        world.pause(world.vms.getLast(), UpstreamHolds.TIME_TO_LIVE.plusSeconds(3));
        world.run(UpstreamHolds.TIME_TO_LIVE.plusSeconds(6));
        world.hub.restoreAll();
        world.run(Duration.ofSeconds(5));
        assertTrue(world.changing);
        assertEquals(List.of(), world.violations);
    }

    /** Guards against a delayed confirmation of an earlier owner's hold that counts for a later owner. */
    @Test
    @FaultRow(promise = Promise.NO_PLANNED_CUT, step = "hold asked", fault = "owner replaced and sender cut off")
    void aConfirmationOfAnEarlierHoldDoesNotCount() throws PeerException {
        HoldVm sender = world.vms.getLast();
        HoldReport late = new HoldReport(
                sender.peer.vm().value(),
                sender.peer.incarnation().toString(),
                List.of(new HoldReport.HeldWork(HoldWorld.SCOPE.name(), HoldWorld.UPSTREAM.value(), 1, 1_000, 0)));
        HoldVm successor = world.vms.get(1);
        sender.network.request(
                successor.peer.vm(),
                new Topic("routing.hold"),
                HoldMessage.CODEC.encode(new HoldMessage(false, List.of(), List.of(late))),
                Duration.ofSeconds(1));
        world.hub.isolate(sender.peer.vm());
        world.elect(successor);
        rounds(50, () -> world.changing);
        assertFalse(world.changing);
        assertEquals(List.of(), world.violations);
    }

    /** Guards against a confirmation of a process that is gone; the one that took its place has confirmed nothing. */
    @Test
    @FaultRow(promise = Promise.NO_PLANNED_CUT, step = "hold confirmed", fault = "sender restarted")
    void aConfirmationDoesNotOutliveItsProcess() {
        rounds(1, () -> false);
        world.run(Duration.ofSeconds(2));
        world.vms.forEach(HoldVm::endWork);
        world.vms.forEach(vm -> vm.holds.step());
        world.clock.advance(UpstreamHolds.TELL_INTERVAL);
        world.vms.forEach(vm -> vm.holds.step());
        world.restart(world.vms.getLast());
        assertFalse(world.listener.prepareChange(HoldWorld.UPSTREAM, HoldWorld.TARGET));
    }

    /** Guards against a change for which two owners have prepared. */
    @Test
    @FaultRow(promise = Promise.NO_CONFLICTING_ORDERS, step = "hold confirmed", fault = "owner replaced")
    void anOwnerThatWasReplacedIsNeverToldThatItMayGoOn() {
        rounds(2, () -> false);
        HoldTable table = world.ownerVm.table;
        long soon = world.clock.nanoTime() + Duration.ofSeconds(10).toNanos();
        table.put(new HoldKey(HoldWorld.SCOPE.name(), new UpstreamId("engine-2")), new Hold(99, 1, true, soon));
        rounds(100, () -> world.changing);
        assertFalse(world.changing);
    }

    /** Guards against a delayed message of an earlier owner that ends the hold of the present one. */
    @Test
    @FaultRow(promise = Promise.NO_PLANNED_CUT, step = "hold confirmed", fault = "owner replaced")
    void anEarlierOwnerNeverOverridesALaterOne() {
        HoldTable table = world.vms.getFirst().table;
        HoldKey key = new HoldKey("chat@south", HoldWorld.UPSTREAM);
        long soon = world.clock.nanoTime() + Duration.ofSeconds(10).toNanos();
        assertTrue(table.put(key, new Hold(2, 1, true, soon)));
        table.merge(List.of(new HoldRow("chat@south", "engine-1", 1, 99, false, 10_000)));
        assertTrue(table.held().contains(HoldWorld.UPSTREAM));
        table.merge(List.of(new HoldRow("chat@south", "engine-2", 1, 100, true, 10_000)));
        assertEquals(1, table.held().size());
    }

    @Test
    @FaultRow(promise = Promise.LEAVING_GETS_NO_NEW_WORK, step = "sending", fault = "router with a stale choice")
    void theGateStopsARouterThatStillChoosesAHeldUpstream() {
        rounds(100, () -> world.changing);
        rounds(25, () -> false);
        assertTrue(world.changing);
        HoldVm vm = world.vms.getLast();
        long before = vm.invariants.violations(Promise.LEAVING_GETS_NO_NEW_WORK);
        assertFalse(vm.trySend());
        assertEquals(before + 1, vm.invariants.violations(Promise.LEAVING_GETS_NO_NEW_WORK));
    }
}
