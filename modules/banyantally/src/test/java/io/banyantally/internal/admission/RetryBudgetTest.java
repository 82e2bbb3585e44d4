package io.banyantally.internal.admission;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

final class RetryBudgetTest {
    private static final int MAXIMUM_ATTEMPTS = 5;

    private final RetryBudget budget = new RetryBudget();
    private int sent;

    private void request(boolean upstreamsWork) {
        budget.recordFirstAttempt();
        sent++;
        for (int retry = 1; !upstreamsWork && retry < MAXIMUM_ATTEMPTS && budget.tryRetry(); retry++) {
            sent++;
        }
    }

    /** Guards against retries that multiply the load at the start and at the end of an outage. */
    @Test
    void retriesStayWithinBudgetDuringOutage() {
        int requests = 3_000;
        for (int request = 0; request < requests; request++) {
            boolean works = request < 1_000 || request >= 2_000;
            request(works);
            double allowed = request
                    + 1
                    + RetryBudget.MAXIMUM_SAVED_RETRIES
                    + RetryBudget.RETRIES_PER_FIRST_ATTEMPT * (request + 1);
            assertTrue(sent <= allowed, sent + " sent after " + (request + 1) + " requests");
        }
        assertTrue(sent > requests, "some retries are allowed");
    }
}
