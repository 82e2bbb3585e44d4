package io.banyantally.internal.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.placement.RetryAllowance.RetryLimit;
import io.banyantally.testing.Deployments;
import io.banyantally.testing.ManualClock;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

final class RetryAllowanceTest {

    private static final RetryLimit LIMIT = new RetryLimit(0.2, 52, Duration.ofSeconds(10));
    private static final int VMS = 6;

    private final ManualClock clock = new ManualClock();

    /** Guards against VMs that together send more retries than the limit, since they exchange no messages about it. */
    @Test
    void allVmsTogetherKeepTheLimitInAnOutage() {
        int requestsPerVm = 100;
        int retries = 0;
        for (int vm = 0; vm < VMS; vm++) {
            RetryAllowance allowance = new RetryAllowance(clock, LIMIT, () -> VMS);
            for (int request = 0; request < requestsPerVm; request++) {
                allowance.recordRequest(Deployments.PLAIN);
                retries += allowance.tryRetry(Deployments.PLAIN) ? 1 : 0;
            }
        }

        assertTrue(retries <= 0.2 * VMS * requestsPerVm + 52, "retries: " + retries);
        assertTrue(retries > 0);
    }

    /** Guards against an allowance that is not restored after its window. */
    @Test
    void allowanceIsRestoredAfterTheWindow() {
        RetryAllowance allowance = new RetryAllowance(clock, LIMIT, () -> VMS);
        int firstTaken = takeAll(allowance);
        assertFalse(allowance.tryRetry(Deployments.PLAIN));

        clock.advance(LIMIT.window().plusMillis(1));

        assertEquals(firstTaken, takeAll(allowance));
    }

    /** Guards against the outage of one service that uses up the retries of another. */
    @Test
    void eachServiceHasItsOwnAllowance() {
        RetryAllowance allowance = new RetryAllowance(clock, LIMIT, () -> VMS);
        takeAll(allowance);

        assertTrue(allowance.tryRetry(Deployments.ENGINES));
    }

    /** Guards against VMs that each take the whole fixed part while the list of VMs is empty after an outage. */
    @Test
    void allVmsTogetherKeepTheLimitWhileTheirListIsShort() {
        AtomicInteger listed = new AtomicInteger(VMS);
        int requestsPerVm = 20;
        int retries = 0;
        for (int vm = 0; vm < VMS; vm++) {
            listed.set(VMS);
            RetryAllowance allowance = new RetryAllowance(clock, LIMIT, listed::get);
            allowance.recordRequest(Deployments.PLAIN);
            listed.set(0);
            for (int request = 1; request < requestsPerVm; request++) {
                allowance.recordRequest(Deployments.PLAIN);
            }
            retries += takeAll(allowance);
        }

        assertTrue(retries <= 0.2 * VMS * requestsPerVm + 52, "retries: " + retries);
    }

    /** Guards against a lower limit for ever after a fleet has become smaller. */
    @Test
    void smallerFleetGetsTheWholeAllowanceAfterTheWindow() {
        AtomicInteger listed = new AtomicInteger(VMS);
        RetryAllowance allowance = new RetryAllowance(clock, LIMIT, listed::get);
        allowance.recordRequest(Deployments.PLAIN);
        listed.set(1);
        clock.advance(LIMIT.window().plusMillis(1));

        assertEquals((int) (RetryAllowance.USED_FRACTION * LIMIT.extra()), takeAll(allowance));
    }

    private static int takeAll(RetryAllowance allowance) {
        int taken = 0;
        while (allowance.tryRetry(Deployments.PLAIN)) {
            taken++;
        }
        return taken;
    }
}
