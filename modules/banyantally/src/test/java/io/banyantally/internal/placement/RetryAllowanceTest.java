package io.banyantally.internal.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.placement.RetryAllowance.RetryLimit;
import io.banyantally.testing.Deployments;
import io.banyantally.testing.ManualClock;
import java.time.Duration;
import org.junit.jupiter.api.Test;

final class RetryAllowanceTest {

    private static final RetryLimit LIMIT = new RetryLimit(0.2, 52, Duration.ofSeconds(10));
    private static final int VMS = 6;

    private final ManualClock clock = new ManualClock();

    /** Guards against VMs that together send more repeats than the limit, without a message between them. */
    @Test
    void allVmsTogetherKeepTheLimitInAnOutage() {
        int requestsOfEach = 100;
        int repeats = 0;
        for (int vm = 0; vm < VMS; vm++) {
            RetryAllowance allowance = new RetryAllowance(clock, LIMIT, () -> VMS);
            for (int request = 0; request < requestsOfEach; request++) {
                allowance.recordRequest(Deployments.PLAIN);
                repeats += allowance.tryRetry(Deployments.PLAIN) ? 1 : 0;
            }
        }

        assertTrue(repeats <= 0.2 * VMS * requestsOfEach + 52, "repeats: " + repeats);
        assertTrue(repeats > 0);
    }

    /** Guards against an allowance that never comes back. */
    @Test
    void allowanceReturnsAfterTheWindow() {
        RetryAllowance allowance = new RetryAllowance(clock, LIMIT, () -> VMS);
        int first = takeAll(allowance);
        assertFalse(allowance.tryRetry(Deployments.PLAIN));

        clock.advance(LIMIT.window().plusMillis(1));

        assertEquals(first, takeAll(allowance));
    }

    /** Guards against one service's outage that uses up the repeats of another. */
    @Test
    void servicesHaveAllowancesOfTheirOwn() {
        RetryAllowance allowance = new RetryAllowance(clock, LIMIT, () -> VMS);
        takeAll(allowance);

        assertTrue(allowance.tryRetry(Deployments.ENGINES));
    }

    private static int takeAll(RetryAllowance allowance) {
        int taken = 0;
        while (allowance.tryRetry(Deployments.PLAIN)) {
            taken++;
        }
        return taken;
    }
}
