package io.banyantally.internal.admission;

import java.time.Duration;

/** Thrown when a request is not admitted. It was not sent to any upstream. */
public final class AdmissionRefusedException extends Exception {

    private static final long serialVersionUID = 1L;

    private final Reason reason;
    private final Duration retryAfter;

    /** Creates the exception with the time after which the caller should retry. */
    public AdmissionRefusedException(Reason reason, Duration retryAfter, String message) {
        super(message);
        this.reason = reason;
        this.retryAfter = retryAfter;
    }

    /** Returns why the request was refused. */
    public Reason reason() {
        return reason;
    }

    /** Returns the time from now after which a retry is likely to be admitted. */
    public Duration retryAfter() {
        return retryAfter;
    }

    /** Why a request was refused. */
    public enum Reason {
        /** The client account has reached a limit of its own. */
        ACCOUNT_LIMIT,
        /** The upstreams are too busy to begin the answer within the caller's time limit. */
        OVERLOADED
    }
}
