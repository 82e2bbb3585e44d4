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

/** Strikes every step of authority and orders with every fault, alone and with a second one soon after. */
final class FaultMatrixTest {

    /** The runs of a row, which prove several promises. */
    private static final Map<List<Enum<?>>, List<SiteCheck>> RESULTS = new ConcurrentHashMap<>();

    static Stream<Arguments> rows() {
        return Arrays.stream(Step.values())
                .filter(step -> step != Step.OTHER)
                .flatMap(step -> Arrays.stream(Fault.values()).map(fault -> Arguments.of(step, fault)));
    }

    @ParameterizedTest
    @MethodSource("rows")
    @FaultRow(promise = Promise.NO_CONFLICTING_ORDERS, step = "each", fault = "each")
    void enginesNeverGoBackToAnOlderOrder(Step step, Fault fault) {
        assertKept(Promise.NO_CONFLICTING_ORDERS, step, fault);
    }

    @ParameterizedTest
    @MethodSource("rows")
    @FaultRow(promise = Promise.STALE_AUTHORITY_HARMLESS, step = "each", fault = "each")
    void nothingOfAnEarlierOwnerTakesEffectAfterItsSuccessorActed(Step step, Fault fault) {
        assertKept(Promise.STALE_AUTHORITY_HARMLESS, step, fault);
    }

    @ParameterizedTest
    @MethodSource("rows")
    @FaultRow(promise = Promise.SINGLE_UPSTREAM_ORDERER, step = "each", fault = "each")
    void noUpstreamIsOrderedTwice(Step step, Fault fault) {
        assertKept(Promise.SINGLE_UPSTREAM_ORDERER, step, fault);
    }

    @ParameterizedTest
    @MethodSource("rows")
    @FaultRow(promise = Promise.GRACEFUL_STOP, step = "each", fault = "each, while a handover is under way")
    void aHandoverEndsAndItsSuccessorFinishesTheWork(Step step, Fault fault) {
        AtomicInteger seen = new AtomicInteger();
        SimulatedVm[] released = new SimulatedVm[1];
        SimulatedSite site = new SimulatedSite(7, false, false, (world, vm, at) -> {
            if (released[0] == null
                    && vm.owner.isOwner()
                    && world.simulation.now() > Duration.ofSeconds(8).toNanos()) {
                released[0] = vm;
                vm.release();
            }
            if (released[0] != null && at == step && seen.incrementAndGet() == 1) {
                fault.strike(world, vm);
            }
        });
        site.run();
        assertTrue(released[0].owner.isStopped() || released[0].isKilled(), "the release did not end");
        assertEquals("{}", site.check.all().toString());
    }

    private static void assertKept(Promise promise, Step step, Fault fault) {
        List<String> violations = RESULTS.computeIfAbsent(List.of(step, fault), row -> variants(step, fault)).stream()
                .flatMap(check -> check.violations(promise).stream())
                .toList();
        assertEquals(List.of(), violations);
    }

    /** Runs a row with tokens and without, at an early and a later occurrence, and with one and two faults. */
    private static List<SiteCheck> variants(Step step, Fault fault) {
        return IntStream.range(0, 8)
                .parallel()
                .mapToObj(bits -> site(step, fault, (bits & 1) == 0 ? 1 : 3, (bits & 2) == 0, (bits & 4) == 0)
                        .run()
                        .check)
                .peek(check -> assertTrue(check.effects() > 0, "no order took effect"))
                .toList();
    }

    /** With {@code second}, the platform becomes slow and the VM that next reads the record is paused. */
    private static SimulatedSite site(Step step, Fault fault, int occurrence, boolean honoursTokens, boolean second) {
        AtomicInteger seen = new AtomicInteger();
        boolean[] struckTwice = {false};
        return new SimulatedSite(11L * occurrence, honoursTokens, false, (world, vm, at) -> {
            if (at == step && seen.incrementAndGet() == occurrence) {
                fault.strike(world, vm);
                if (second) {
                    world.platformSlow(Duration.ofSeconds(10));
                }
            } else if (second && seen.get() >= occurrence && at == Step.WRITE_RECORD && !struckTwice[0]) {
                struckTwice[0] = true;
                vm.pause(Duration.ofSeconds(9));
            }
        });
    }
}
