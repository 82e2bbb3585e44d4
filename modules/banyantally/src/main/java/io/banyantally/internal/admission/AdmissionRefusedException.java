package io.banyantally.internal.admission;

import java.time.Duration;

/** A request was not let in. It did not run. */
public final class AdmissionRefusedException extends Exception {

    private static final long serialVersionUID = 1L;

    private final Reason reason;
    private final Duration retryAfter;

    /** Creates the refusal with the time after which the caller should come back. */
    public AdmissionRefusedException(Reason reason, Duration retryAfter, String message) {
        super(message);
        this.reason = reason;
        this.retryAfter = retryAfter;
    }

    /** Returns why the request was refused. */
    public Reason reason() {
        return reason;
    }

    /** Returns when a try is likely to be let in, from now. */
    public Duration retryAfter() {
        return retryAfter;
    }

    /** Why a request was refused. */
    public enum Reason {
        /** The client account has reached a limit of its own. */
        ACCOUNT_LIMIT,
        /** The fleet is too busy to begin the answer within the caller's time limit. */
        OVERLOADED
    }
}
