package io.banyantally.internal.orders;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.invariant.Promise;
import io.banyantally.testing.FaultRow;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against violated invariants by injecting each fault at each step of authority and orders, alone and with a
 * second one soon after.
 */
final class FaultMatrixTest {

    /** The results of each combination of step and fault, shared by the tests of several invariants. */
    private static final Map<List<Enum<?>>, List<SiteCheck>> RESULTS = new ConcurrentHashMap<>();

    static Stream<Arguments> rows() {
        return Arrays.stream(Step.values())
                .filter(step -> step != Step.OTHER)
                .flatMap(step -> Arrays.stream(Fault.values()).map(fault -> Arguments.of(step, fault)));
    }

    @ParameterizedTest
    @MethodSource("rows")
    @FaultRow(promise = Promise.NO_CONFLICTING_ORDERS, step = "each", fault = "each")
    void enginesNeverApplyOlderOrderAfterNewerOne(Step step, Fault fault) {
        assertNoViolations(Promise.NO_CONFLICTING_ORDERS, step, fault);
    }

    @ParameterizedTest
    @MethodSource("rows")
    @FaultRow(promise = Promise.STALE_AUTHORITY_HARMLESS, step = "each", fault = "each")
    void ordersOfEarlierOwnerHaveNoEffectAfterSuccessorActed(Step step, Fault fault) {
        assertNoViolations(Promise.STALE_AUTHORITY_HARMLESS, step, fault);
    }

    @ParameterizedTest
    @MethodSource("rows")
    @FaultRow(promise = Promise.SINGLE_UPSTREAM_ORDERER, step = "each", fault = "each")
    void upstreamsAreNotOrderedTwice(Step step, Fault fault) {
        assertNoViolations(Promise.SINGLE_UPSTREAM_ORDERER, step, fault);
    }

    @ParameterizedTest
    @MethodSource("rows")
    @FaultRow(promise = Promise.GRACEFUL_STOP, step = "each", fault = "each, while a handover is under way")
    void handoverCompletesAndSuccessorReachesTargets(Step step, Fault fault) {
        AtomicInteger occurrences = new AtomicInteger();
        SimulatedVm[] released = new SimulatedVm[1];
        SimulatedSite site = new SimulatedSite(7, false, false, (currentSite, vm, at) -> {
            if (released[0] == null
                    && vm.owner.isOwner()
                    && currentSite.simulation.now() > Duration.ofSeconds(8).toNanos()) {
                released[0] = vm;
                vm.release();
            }
            if (released[0] != null && at == step && occurrences.incrementAndGet() == 1) {
                fault.injectInto(currentSite, vm);
            }
        });
        site.run();
        assertTrue(released[0].owner.isStopped() || released[0].isKilled(), "the release did not complete");
        assertEquals("{}", site.check.allViolations().toString());
    }

    private static void assertNoViolations(Promise promise, Step step, Fault fault) {
        List<String> violations = RESULTS.computeIfAbsent(List.of(step, fault), row -> variants(step, fault)).stream()
                .flatMap(check -> check.violations(promise).stream())
                .toList();
        assertEquals(List.of(), violations);
    }

    /**
     * Runs a combination with and without tokens, at the first and third occurrence of the step, and with one or two
     * faults.
     */
    private static List<SiteCheck> variants(Step step, Fault fault) {
        return IntStream.range(0, 8)
                .parallel()
                .mapToObj(bits -> site(step, fault, (bits & 1) == 0 ? 1 : 3, (bits & 2) == 0, (bits & 4) == 0)
                        .run()
                        .check)
                .peek(check -> assertTrue(check.effects() > 0, "no order took effect"))
                .toList();
    }

    /** With {@code withSecondFault}, the platform becomes slow and the VM that writes the record next is paused. */
    private static SimulatedSite site(
            Step step, Fault fault, int occurrence, boolean honoursTokens, boolean withSecondFault) {
        AtomicInteger occurrences = new AtomicInteger();
        boolean[] secondInjected = {false};
        return new SimulatedSite(11L * occurrence, honoursTokens, false, (currentSite, vm, at) -> {
            if (at == step && occurrences.incrementAndGet() == occurrence) {
                fault.injectInto(currentSite, vm);
                if (withSecondFault) {
                    currentSite.platformSlow(Duration.ofSeconds(10));
                }
            } else if (withSecondFault
                    && occurrences.get() >= occurrence
                    && at == Step.WRITE_RECORD
                    && !secondInjected[0]) {
                secondInjected[0] = true;
                vm.pause(Duration.ofSeconds(9));
            }
        });
    }
}
