package io.banyantally.internal.http;

import java.time.Duration;
import java.util.Optional;

/** Ends a request with a typed error for the caller, which states whether the request may have run. */
final class RequestFailedException extends Exception {

    private static final long serialVersionUID = 1L;

    private final ErrorType type;
    private final boolean notRun;
    private final Duration retryAfter;

    private RequestFailedException(ErrorType type, boolean notRun, Duration retryAfter, String message) {
        super(message);
        this.type = type;
        this.notRun = notRun;
        this.retryAfter = retryAfter;
    }

    /** Creates the error of a request that did not run. */
    static RequestFailedException notRun(ErrorType type, String message) {
        return new RequestFailedException(type, true, null, message);
    }

    /** Creates the error of a request that did not run, and that may succeed when retried after {@code retryAfter}. */
    static RequestFailedException notRun(ErrorType type, Duration retryAfter, String message) {
        return new RequestFailedException(type, true, retryAfter, message);
    }

    /** Creates the error of a request that may have run. */
    static RequestFailedException mayHaveRun(ErrorType type, String message) {
        return new RequestFailedException(type, false, null, message);
    }

    ErrorType type() {
        return type;
    }

    boolean isNotRun() {
        return notRun;
    }

    Optional<Duration> retryAfter() {
        return Optional.ofNullable(retryAfter);
    }
}
