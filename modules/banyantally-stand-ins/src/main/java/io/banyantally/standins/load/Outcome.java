package io.banyantally.standins.load;

/**
 * What became of a request.
 *
 * @param refusal the type that a refusal names; empty otherwise
 * @param firstTokenNanos from sending to the first token, or to the whole answer of a call
 * @param tokenIntervalNanos the mean time between tokens
 * @param retryAfterSeconds when a refusal says to come back; 0 when it does not say
 */
record Outcome(
        Kind kind,
        String refusal,
        long firstTokenNanos,
        long tokenIntervalNanos,
        int tokens,
        double retryAfterSeconds) {

    /** The ways in which a request ends. */
    enum Kind {
        /** Whole and verified. */
        COMPLETE,
        /** Refused as not run. */
        NOT_RUN,
        /** The answer says that the request may have run. */
        UNKNOWN,
        /** No connection, so it was not sent. */
        NOT_CONNECTED,
        /** The answer ended without its end mark, or the connection without an answer. */
        CUT,
        /** The answer is not the one that the request must get. */
        WRONG
    }

    static Outcome without(Kind kind) {
        return new Outcome(kind, "", 0, 0, 0, 0);
    }
}
