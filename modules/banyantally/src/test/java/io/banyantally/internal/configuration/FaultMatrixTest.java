package io.banyantally.internal.configuration;

import io.banyantally.internal.invariant.Promise;
import io.banyantally.testing.FaultRow;
import java.util.Arrays;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Injects every fault and every pair of faults at every point of a change and of a withdrawal. Guards against a
 * configuration that reverts to a lower revision, a wrongly reported outcome, and a withdrawn key that is served too
 * long.
 */
final class FaultMatrixTest {

    @ParameterizedTest
    @MethodSource("single")
    @FaultRow(promise = Promise.CONFIGURATION_NEVER_REVERTS, step = "each step of a change", fault = "each fault")
    void changeAndWithdrawalHoldUnderOneFault(InjectionPoint step, InjectedFault fault) throws Exception {
        FaultMatrix.run(step, fault);
    }

    @ParameterizedTest
    @MethodSource("pairs")
    @FaultRow(
            promise = Promise.TENANT_ISOLATION,
            step = "each step of a withdrawal",
            fault = "each two faults together")
    void changeAndWithdrawalHoldUnderTwoFaults(InjectionPoint step, InjectedFault first, InjectedFault second)
            throws Exception {
        FaultMatrix.run(step, first, second);
    }

    static Stream<Arguments> single() {
        return steps().flatMap(step -> faults().map(fault -> Arguments.of(step, fault)));
    }

    static Stream<Arguments> pairs() {
        return steps().flatMap(step -> faults().flatMap(first ->
                faults().filter(second -> second != first).map(second -> Arguments.of(step, first, second))));
    }

    private static Stream<InjectionPoint> steps() {
        return Arrays.stream(InjectionPoint.values());
    }

    private static Stream<InjectedFault> faults() {
        return Arrays.stream(InjectedFault.values());
    }
}
