package io.banyantally.internal.orders;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.invariant.Promise;
import io.banyantally.testing.FaultRow;
import java.time.Duration;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Guards against orders that take effect at the latest possible time. Random faults reach these cases too rarely. */
final class DelayedOrderTest {

    private static final long SEED = 3;
    private static final long SEEDS = 10;
    private static final long START = Duration.ofSeconds(7).toNanos();

    /** Just before the authority expires, 4.5 s after the last renewal. */
    private static final Duration PAUSE_UNTIL_AUTHORITY_ENDS = Duration.ofMillis(4_400);

    @Test
    @FaultRow(promise = Promise.STALE_AUTHORITY_HARMLESS, step = "wait", fault = "order delayed as long as possible")
    void successorActsOnlyAfterLastDelayedOrderOfPredecessor() {
        // Whether a missing takeover wait is detected depends on the seed, so several seeds are run.
        LongStream.rangeClosed(1, SEEDS).forEach(DelayedOrderTest::runWithDelayedLastOrder);
    }

    private static void runWithDelayedLastOrder(long seed) {
        long[] lastRenewal = {0};
        Step[] next = {Step.OPEN_CONNECTION};
        SimulatedVm[] victim = new SimulatedVm[1];
        SimulatedSite site = new SimulatedSite(seed, false, false, (currentSite, vm, step) -> {
            long now = currentSite.simulation.now();
            if (step == Step.RENEW && victim[0] == null) {
                lastRenewal[0] = now;
            }
            if (now < START || step != next[0] || (victim[0] != null && victim[0] != vm)) {
                return;
            }
            if (step == Step.OPEN_CONNECTION) {
                victim[0] = vm;
                vm.cutPlatform(Duration.ofSeconds(30));
                vm.pause(PAUSE_UNTIL_AUTHORITY_ENDS.minusNanos(now - lastRenewal[0]));
                next[0] = Step.SEND;
            } else if (step == Step.SEND) {
                currentSite.delayNextOrder();
                vm.pause(SimulatedSite.MAXIMUM_DELIVERY_DELAY);
                next[0] = Step.OTHER;
                currentSite.simulation.schedule(
                        Duration.ofSeconds(2), () -> currentSite.kill(vm, Duration.ofSeconds(20)));
            }
        });
        site.run();
        assertEquals(Step.OTHER, next[0], "the last order before the end of the authority was not delayed");
        assertTrue(site.check.highestEffective().value() > 1, "no order of a successor took effect");
        assertEquals("{}", site.check.allViolations().toString());
    }

    @Test
    @FaultRow(
            promise = Promise.NO_CONFLICTING_ORDERS,
            step = "send",
            fault = "network cut delays the body as long as possible")
    void nextOrderWaitsForOrderWithUnknownOutcome() {
        boolean[] injected = {false};
        SimulatedSite site = new SimulatedSite(SEED, false, false, (currentSite, vm, step) -> {
            if (currentSite.simulation.now() >= START && step == Step.SEND && !injected[0]) {
                injected[0] = true;
                currentSite.delayNextOrder();
                vm.cutEngines(Duration.ofMillis(2_990));
            }
        });
        site.run();
        assertTrue(injected[0], "no order was delayed");
        assertEquals("{}", site.check.allViolations().toString());
    }
}
