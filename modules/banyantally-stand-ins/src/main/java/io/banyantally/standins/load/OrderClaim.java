package io.banyantally.standins.load;

/**
 * What the answer to an order claimed, to be compared with what the service executed.
 *
 * @param later what the service's calls said when they were asked at the end of the run; the same as {@code claim} where
 *     that was certain
 */
public record OrderClaim(String orderId, String service, String idempotencyKey, Claim claim, Claim later) {

    /** Returns whether the answer left open whether the order ran. */
    boolean isOpen() {
        return claim == Claim.UNKNOWN || claim == Claim.NO_ANSWER;
    }

    /** The three distinct answers, and the case without one. */
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
