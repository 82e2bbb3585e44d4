package io.banyantally.internal.admission;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

final class RetryBudgetTest {
    private static final int TRIES_PER_REQUEST = 5;

    private final RetryBudget budget = new RetryBudget();
    private int sent;

    private void request(boolean upstreamsWork) {
        budget.recordFirstAttempt();
        sent++;
        for (int retry = 1; !upstreamsWork && retry < TRIES_PER_REQUEST && budget.tryRetry(); retry++) {
            sent++;
        }
    }

    /** Guards against retries that multiply the load when an outage begins, and again when it ends. */
    @Test
    void retriesStayAPartOfFirstTriesThroughAnOutage() {
        int requests = 3_000;
        for (int request = 0; request < requests; request++) {
            boolean works = request < 1_000 || request >= 2_000;
            request(works);
            double allowed = request + 1 + RetryBudget.MAXIMUM_SAVED + RetryBudget.RETRIES_PER_TRY * (request + 1);
            assertTrue(sent <= allowed, sent + " sent after " + (request + 1) + " requests");
        }
        assertTrue(sent > requests, "some retries are allowed");
    }
}
