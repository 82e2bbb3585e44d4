package io.banyantally.standins.load;

/**
 * The outcome of a request.
 *
 * @param refusal the error type of a refusal or unknown outcome; empty otherwise
 * @param firstTokenNanos time from sending to the first token, or to the end of the answer of a call
 * @param tokenIntervalNanos the mean time between tokens
 * @param retryAfterSeconds the delay until a retry that a refusal states; 0 if it states none
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
        /** Complete and verified. */
        COMPLETE,
        /** Refused as not run. */
        NOT_RUN,
        /** The answer says that the request may have run. */
        UNKNOWN,
        /** No connection, so it was not sent. */
        NOT_CONNECTED,
        /** The answer ended without its end marker, or the connection without an answer. */
        CUT,
        /** The answer differs from the expected one. */
        WRONG
    }

    static Outcome without(Kind kind) {
        return new Outcome(kind, "", 0, 0, 0, 0);
    }
}
