package io.banyantally.internal.http;

import java.time.Duration;
import java.util.Optional;

/** A request that ends with a typed error. */
final class RequestRefusedException extends Exception {

    private static final long serialVersionUID = 1L;

    private final ErrorType type;
    private final boolean notRun;
    private final Duration retryAfter;

    private RequestRefusedException(ErrorType type, boolean notRun, Duration retryAfter, String message) {
        super(message);
        this.type = type;
        this.notRun = notRun;
        this.retryAfter = retryAfter;
    }

    /** The request certainly did not run. */
    static RequestRefusedException notRun(ErrorType type, String message) {
        return new RequestRefusedException(type, true, null, message);
    }

    /** The request certainly did not run, and a try after {@code retryAfter} may succeed. */
    static RequestRefusedException notRun(ErrorType type, Duration retryAfter, String message) {
        return new RequestRefusedException(type, true, retryAfter, message);
    }

    /** The request may have run. */
    static RequestRefusedException mayHaveRun(ErrorType type, String message) {
        return new RequestRefusedException(type, false, null, message);
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
