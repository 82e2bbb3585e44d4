package io.banyantally.standins.load;

/**
 * The outcome that the answer to an order stated, for comparison with the executions of the service.
 *
 * @param later the outcome that a query at the end of the run returned; the same as {@code claim} if that was certain
 */
public record OrderClaim(String orderId, String service, String idempotencyKey, Claim claim, Claim later) {

    /** Returns whether the order may or may not have run, as far as its answer tells. */
    boolean isOutcomeUnknown() {
        return claim == Claim.UNKNOWN || claim == Claim.NO_ANSWER;
    }

    /** The three outcomes that an answer can state, and the case without an answer. */
    public enum Claim {
        /** It ran. */
        RAN,
        /** It certainly did not run. */
        NOT_RUN,
        /** It may have run; the caller can ask later. */
        UNKNOWN,
        /** The connection ended without an answer. */
        NO_ANSWER
    }
}
