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

/** Guards against VMs that do not learn that an upstream is leaving, and platform calls that grow with the fleet. */
final class DirectorySynchronizerTest {

    /** Time within which every VM must learn of the notice after it appears in the platform's list. */
    private static final Duration PROPAGATION_LIMIT = Duration.ofSeconds(2);

    /** For faults that make a VM poll the platform itself: after 3 s without a fresh list, every 2 s. */
    private static final Duration FALLBACK_LIMIT = Duration.ofSeconds(6);

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
    void everyVmLearnsOfALeavingUpstreamInTime(Step step, Fault fault) {
        DirectorySimulation simulation = new DirectorySimulation(Long.getLong("banyantally.seed", 1), 5);
        simulation.run(Duration.ofSeconds(3));
        if (step == Step.BEFORE_NOTICE) {
            injectFault(simulation, fault);
            simulation.run(Duration.ofSeconds(1));
        }
        simulation.startLeaving();
        if (step == Step.AT_NOTICE) {
            injectFault(simulation, fault);
        } else if (step == Step.AFTER_FIRST_READ) {
            while (simulation.vms.stream().noneMatch(DirectorySimulation.Vm::seesUpstreamLeaving)) {
                simulation.run(DirectorySimulation.STEP);
            }
            injectFault(simulation, fault);
        }
        boolean slow = fault != Fault.NONE && fault != Fault.READER_KILLED && fault != Fault.ONE_LINK_CUT;
        simulation.run(slow ? FALLBACK_LIMIT : PROPAGATION_LIMIT);
        for (DirectorySimulation.Vm vm : simulation.vms) {
            assertTrue(vm.killed || vm.seesUpstreamLeaving(), vm.peer + " does not list the upstream as leaving");
        }
    }

    /** Guards against an older list that arrives later, after which a leaving upstream would get work again. */
    @ParameterizedTest
    @MethodSource("faults")
    @FaultRow(promise = Promise.LEAVING_GETS_NO_NEW_WORK, step = "each step of the spread", fault = "each fault")
    void noVmReturnsToAnOlderList(Step step, Fault fault) {
        DirectorySimulation simulation = new DirectorySimulation(
                Long.getLong("banyantally.seed", 1) + step.name().length(), 5);
        simulation.run(Duration.ofSeconds(3));
        simulation.startLeaving();
        simulation.run(Duration.ofSeconds(1));
        injectFault(simulation, fault);
        simulation.run(FALLBACK_LIMIT);
        simulation.hub.restoreAll();
        simulation.vms.forEach(vm -> vm.platformUnreachable = false);
        simulation.run(PROPAGATION_LIMIT);
        for (DirectorySimulation.Vm vm : simulation.vms) {
            int first = vm.leavingHistory.indexOf(true);
            List<Boolean> after = first < 0 ? List.of() : vm.leavingHistory.subList(first, vm.leavingHistory.size());
            assertFalse(after.contains(false), vm.peer + " listed the leaving upstream as live again");
        }
    }

    @Test
    @FaultRow(promise = Promise.LEAVING_GETS_NO_NEW_WORK, step = "taking a list over", fault = "answer delayed")
    void anAnswerThatWasDelayedDoesNotReplaceAFresherList() {
        DirectorySimulation simulation = new DirectorySimulation(1, 1);
        DirectoryChangeLog changeLog = new DirectoryChangeLog(new Incarnation(1), simulation.clock);
        Map<String, DirectoryEntry> live = Map.copyOf(simulation.platformEntries);
        simulation.startLeaving();
        assertTrue(changeLog.replaceIfFresher(simulation.platformEntries, simulation.clock.nanoTime()));
        assertFalse(changeLog.replaceIfFresher(
                live, simulation.clock.nanoTime() - Duration.ofMillis(300).toNanos()));
        assertTrue(DirectorySimulation.isLeaving(changeLog.list()));
    }

    @Test
    @FaultRow(promise = Promise.LEAVING_GETS_NO_NEW_WORK, step = "reading", fault = "platform down")
    void theLastListStaysDuringAPlatformOutage() {
        DirectorySimulation simulation = new DirectorySimulation(1, 5);
        simulation.startLeaving();
        simulation.run(Duration.ofSeconds(3));
        simulation.platformDown = true;
        simulation.run(Duration.ofSeconds(60));
        simulation.vms.forEach(vm -> assertTrue(vm.seesUpstreamLeaving()));
    }

    /** Guards against polls by every VM, with which the calls to the platform would grow with the fleet. */
    @Test
    void onlyTwoVmsInEachZonePollThePlatform() {
        DirectorySimulation simulation = new DirectorySimulation(1, 20);
        simulation.run(Duration.ofSeconds(5));
        simulation.vms.forEach(vm -> vm.platformCalls = 0);
        simulation.run(Duration.ofSeconds(10));
        assertEquals(
                4, simulation.vms.stream().filter(vm -> vm.platformCalls > 0).count());
    }

    /** Guards against a burst of calls in and after an outage of the platform, when all VMs poll it themselves. */
    @Test
    void anOutageDoesNotMultiplyTheCalls() {
        DirectorySimulation simulation = new DirectorySimulation(1, 20);
        simulation.run(Duration.ofSeconds(5));
        simulation.platformDown = true;
        simulation.vms.forEach(vm -> vm.platformCalls = 0);
        simulation.run(Duration.ofSeconds(20));
        int calls = simulation.vms.stream().mapToInt(vm -> vm.platformCalls).sum();
        assertTrue(calls < 20 * (4 * 2.3 + 36 / 1.7), calls + " calls in 20 s");
    }

    private static void injectFault(DirectorySimulation simulation, Fault fault) {
        List<DirectorySimulation.Vm> readers = simulation.vms.stream()
                .filter(vm -> simulation.isReader(vm) && vm.peer.zone().value().equals("north"))
                .toList();
        DirectorySimulation.Vm other = simulation.vms.stream()
                .filter(vm -> !simulation.isReader(vm) && vm.peer.zone().value().equals("north"))
                .findFirst()
                .orElseThrow();
        switch (fault) {
            case NONE -> {}
            case READER_KILLED -> simulation.kill(readers.getFirst());
            case BOTH_READERS_KILLED -> readers.forEach(simulation::kill);
            case READER_PAUSED -> {
                readers.getFirst().pausedUntil =
                        simulation.clock.nanoTime() + Duration.ofSeconds(3).toNanos();
                simulation.hub.isolate(readers.getFirst().peer.vm());
            }
            case BOTH_READERS_CUT_FROM_PLATFORM -> readers.forEach(vm -> vm.platformUnreachable = true);
            case ALL_READERS_CUT_FROM_PLATFORM ->
                simulation.vms.stream().filter(simulation::isReader).forEach(vm -> vm.platformUnreachable = true);
            case ONE_LINK_CUT ->
                simulation.hub.cut(other.peer.vm(), readers.getFirst().peer.vm());
            case CUT_FROM_ALL_PEERS -> simulation.hub.isolate(other.peer.vm());
            case ANSWERS_LOST -> simulation.losesPlatformAnswers = true;
            case SHORT_OUTAGE -> {
                simulation.platformDown = true;
                simulation.run(Duration.ofSeconds(1));
                simulation.platformDown = false;
            }
        }
    }
}
