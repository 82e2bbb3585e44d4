package io.banyantally.internal.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.invariant.Promise;
import io.banyantally.model.Incarnation;
import io.banyantally.platform.DirectoryEntry;
import io.banyantally.testing.FaultRow;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a leaving upstream that some VM does not hear of, and calls to the platform that grow with the VMs. */
final class DirectorySpreadTest {

    /** Two seconds after the notice reached the platform's list. */
    private static final Duration LIMIT = Duration.ofSeconds(2);

    /** A VM that polls the platform itself after 3 s of silence, and a poll of 2 s. */
    private static final Duration LIMIT_ALONE = Duration.ofSeconds(6);

    private enum Fault {
        NONE,
        READER_KILLED,
        BOTH_READERS_KILLED,
        READER_PAUSED,
        BOTH_READERS_CUT_FROM_PLATFORM,
        ALL_READERS_CUT_FROM_PLATFORM,
        ONE_LINK_CUT,
        CUT_FROM_ALL_PEERS,
        ANSWERS_LOST,
        SHORT_OUTAGE
    }

    private enum Step {
        BEFORE_NOTICE,
        AT_NOTICE,
        AFTER_FIRST_READ
    }

    static Stream<Arguments> faults() {
        return Stream.of(Step.values())
                .flatMap(step -> Stream.of(Fault.values()).map(fault -> Arguments.of(step, fault)));
    }

    @ParameterizedTest
    @MethodSource("faults")
    @FaultRow(promise = Promise.LEAVING_GETS_NO_NEW_WORK, step = "each step of the spread", fault = "each fault")
    void everyVmHearsOfALeavingUpstreamInTime(Step step, Fault fault) {
        SpreadWorld world = new SpreadWorld(Long.getLong("banyantally.seed", 1), 5);
        world.run(Duration.ofSeconds(3));
        if (step == Step.BEFORE_NOTICE) {
            strike(world, fault);
            world.run(Duration.ofSeconds(1));
        }
        world.startLeaving();
        if (step == Step.AT_NOTICE) {
            strike(world, fault);
        } else if (step == Step.AFTER_FIRST_READ) {
            while (world.vms.stream().noneMatch(SpreadWorld.Vm::knowsNotice)) {
                world.run(SpreadWorld.STEP);
            }
            strike(world, fault);
        }
        boolean slow = fault != Fault.NONE && fault != Fault.READER_KILLED && fault != Fault.ONE_LINK_CUT;
        world.run(slow ? LIMIT_ALONE : LIMIT);
        for (SpreadWorld.Vm vm : world.vms) {
            assertTrue(vm.killed || vm.knowsNotice(), vm.peer + " does not know the notice");
        }
    }

    /** Guards against a list that was read earlier and arrives later, which would give a leaving upstream work again. */
    @ParameterizedTest
    @MethodSource("faults")
    @FaultRow(promise = Promise.LEAVING_GETS_NO_NEW_WORK, step = "each step of the spread", fault = "each fault")
    void noVmGoesBackToAnOlderList(Step step, Fault fault) {
        SpreadWorld world = new SpreadWorld(
                Long.getLong("banyantally.seed", 1) + step.name().length(), 5);
        world.run(Duration.ofSeconds(3));
        world.startLeaving();
        world.run(Duration.ofSeconds(1));
        strike(world, fault);
        world.run(LIMIT_ALONE);
        world.hub.restoreAll();
        world.vms.forEach(vm -> vm.cutFromPlatform = false);
        world.run(LIMIT);
        for (SpreadWorld.Vm vm : world.vms) {
            int first = vm.leavingSeen.indexOf(true);
            List<Boolean> after = first < 0 ? List.of() : vm.leavingSeen.subList(first, vm.leavingSeen.size());
            assertFalse(after.contains(false), vm.peer + " went back");
        }
    }

    @Test
    @FaultRow(promise = Promise.LEAVING_GETS_NO_NEW_WORK, step = "taking a list over", fault = "answer delayed")
    void anAnswerThatWasDelayedDoesNotReplaceAFresherList() {
        SpreadWorld world = new SpreadWorld(1, 1);
        DirectoryLog log = new DirectoryLog(new Incarnation(1), world.clock);
        Map<String, DirectoryEntry> live = Map.copyOf(world.platform);
        world.startLeaving();
        assertTrue(log.offer(world.platform, world.clock.nanoTime()));
        assertFalse(
                log.offer(live, world.clock.nanoTime() - Duration.ofMillis(300).toNanos()));
        assertTrue(SpreadWorld.isLeaving(log.list()));
    }

    @Test
    @FaultRow(promise = Promise.LEAVING_GETS_NO_NEW_WORK, step = "reading", fault = "platform down")
    void theLastListStaysWhileNobodyCanRead() {
        SpreadWorld world = new SpreadWorld(1, 5);
        world.startLeaving();
        world.run(Duration.ofSeconds(3));
        world.platformDown = true;
        world.run(Duration.ofSeconds(60));
        world.vms.forEach(vm -> assertTrue(vm.knowsNotice()));
    }

    /** Guards against a platform that is called by every VM, where calls would grow with the fleet. */
    @Test
    void onlyTwoVmsInEachZonePollThePlatform() {
        SpreadWorld world = new SpreadWorld(1, 20);
        world.run(Duration.ofSeconds(5));
        world.vms.forEach(vm -> vm.calls = 0);
        world.run(Duration.ofSeconds(10));
        assertEquals(4, world.vms.stream().filter(vm -> vm.calls > 0).count());
    }

    /** Guards against a flood of calls when the platform comes back after an outage. */
    @Test
    void anOutageDoesNotMultiplyTheCalls() {
        SpreadWorld world = new SpreadWorld(1, 20);
        world.run(Duration.ofSeconds(5));
        world.platformDown = true;
        world.vms.forEach(vm -> vm.calls = 0);
        world.run(Duration.ofSeconds(20));
        int calls = world.vms.stream().mapToInt(vm -> vm.calls).sum();
        assertTrue(calls < 20 * (4 * 2.3 + 36 / 1.7), calls + " calls in 20 s");
    }

    private static void strike(SpreadWorld world, Fault fault) {
        List<SpreadWorld.Vm> readers = world.vms.stream()
                .filter(vm -> world.isReader(vm) && vm.peer.zone().value().equals("north"))
                .toList();
        SpreadWorld.Vm other = world.vms.stream()
                .filter(vm -> !world.isReader(vm) && vm.peer.zone().value().equals("north"))
                .findFirst()
                .orElseThrow();
        switch (fault) {
            case NONE -> {}
            case READER_KILLED -> world.kill(readers.getFirst());
            case BOTH_READERS_KILLED -> readers.forEach(world::kill);
            case READER_PAUSED -> {
                readers.getFirst().pausedUntil =
                        world.clock.nanoTime() + Duration.ofSeconds(3).toNanos();
                world.hub.isolate(readers.getFirst().peer.vm());
            }
            case BOTH_READERS_CUT_FROM_PLATFORM -> readers.forEach(vm -> vm.cutFromPlatform = true);
            case ALL_READERS_CUT_FROM_PLATFORM ->
                world.vms.stream().filter(world::isReader).forEach(vm -> vm.cutFromPlatform = true);
            case ONE_LINK_CUT ->
                world.hub.cut(other.peer.vm(), readers.getFirst().peer.vm());
            case CUT_FROM_ALL_PEERS -> world.hub.isolate(other.peer.vm());
            case ANSWERS_LOST -> world.loseAnswers = true;
            case SHORT_OUTAGE -> {
                world.platformDown = true;
                world.run(Duration.ofSeconds(1));
                world.platformDown = false;
            }
        }
    }
}
