package io.banyantally.internal.orders;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.invariant.Promise;
import io.banyantally.testing.FaultRow;
import java.time.Duration;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Delays an order as far as its receiver allows; random faults reach these corners too rarely. */
final class DelayedOrderTest {

    private static final long SEED = 3;
    private static final long SEEDS = 10;
    private static final long START = Duration.ofSeconds(7).toNanos();

    /** Just before the authority ends, 4.5 s after the last renewal. */
    private static final Duration END_OF_AUTHORITY = Duration.ofMillis(4_400);

    @Test
    @FaultRow(promise = Promise.STALE_AUTHORITY_HARMLESS, step = "wait", fault = "order delayed to the utmost")
    void aSuccessorActsOnlyAfterTheLastDelayedOrderOfItsPredecessor() {
        // Whether a successor without the wait would be fast enough to be overtaken depends on the seed.
        LongStream.rangeClosed(1, SEEDS).forEach(DelayedOrderTest::runWithDelayedLastOrder);
    }

    private static void runWithDelayedLastOrder(long seed) {
        long[] lastRenewal = {0};
        Step[] next = {Step.OPEN_CONNECTION};
        SimulatedVm[] victim = new SimulatedVm[1];
        SimulatedSite site = new SimulatedSite(seed, false, false, (world, vm, step) -> {
            long now = world.simulation.now();
            if (step == Step.RENEW && victim[0] == null) {
                lastRenewal[0] = now;
            }
            if (now < START || step != next[0] || (victim[0] != null && victim[0] != vm)) {
                return;
            }
            if (step == Step.OPEN_CONNECTION) {
                victim[0] = vm;
                vm.cutPlatform(Duration.ofSeconds(30));
                vm.pause(END_OF_AUTHORITY.minusNanos(now - lastRenewal[0]));
                next[0] = Step.SEND;
            } else if (step == Step.SEND) {
                world.delayNextOrder();
                vm.pause(SimulatedSite.LONGEST_HOLD);
                next[0] = Step.OTHER;
                world.simulation.after(Duration.ofSeconds(2), () -> world.kill(vm, Duration.ofSeconds(20)));
            }
        });
        site.run();
        assertEquals(Step.OTHER, next[0], "the order was not delayed");
        assertTrue(site.check.highestActed().value() > 1, "no successor acted");
        assertEquals("{}", site.check.all().toString());
    }

    @Test
    @FaultRow(promise = Promise.NO_CONFLICTING_ORDERS, step = "send", fault = "cut holds the body back to the utmost")
    void anOrderWithAnUnknownOutcomeIsNotOvertakenByTheNextOne() {
        boolean[] struck = {false};
        SimulatedSite site = new SimulatedSite(SEED, false, false, (world, vm, step) -> {
            if (world.simulation.now() >= START && step == Step.SEND && !struck[0]) {
                struck[0] = true;
                world.delayNextOrder();
                vm.cutEngines(Duration.ofMillis(2_990));
            }
        });
        site.run();
        assertTrue(struck[0], "no order was delayed");
        assertEquals("{}", site.check.all().toString());
    }
}
