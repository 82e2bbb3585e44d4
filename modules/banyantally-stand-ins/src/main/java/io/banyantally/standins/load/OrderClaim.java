package io.banyantally.standins.load;

/** What the answer to an order claimed, to be compared with what the service executed. */
public record OrderClaim(String orderId, String idempotencyKey, Claim claim) {

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
