package io.banyantally.internal.forwarding;

import java.time.Duration;
import java.util.Optional;

/**
 * An error response of the gateway itself.
 *
 * @param reason one word for logs and metrics
 * @param retryAfter when the caller may retry; only for requests that did not run
 */
record Refusal(int status, String reason, Optional<Duration> retryAfter) {

    static final int BAD_REQUEST = 400;
    static final int UNAUTHORIZED = 401;
    static final int NOT_FOUND = 404;
    static final int REQUEST_TIMEOUT = 408;
    static final int BODY_TOO_LARGE = 413;
    static final int MISDIRECTED = 421;
    static final int TOO_MANY_REQUESTS = 429;
    static final int HEADERS_TOO_LARGE = 431;
    static final int BAD_GATEWAY = 502;
    static final int UNAVAILABLE = 503;
    static final int TIMEOUT = 504;

    /** No VM or upstream can serve the request as it is. */
    static Refusal clientError(int status, String reason) {
        return new Refusal(status, reason, Optional.empty());
    }

    /** The request has not run and will not run. */
    static Refusal notRun(String reason, Duration retryAfter) {
        return new Refusal(UNAVAILABLE, reason, Optional.of(retryAfter));
    }

    /** The request is beyond the rate limit of its account; it has not run and will not run. */
    static Refusal tooManyRequests(Duration retryAfter) {
        return new Refusal(TOO_MANY_REQUESTS, "account_limit", Optional.of(retryAfter));
    }

    /** The request body did not arrive in time, so the request has not run and will not run. */
    static Refusal requestTimeout() {
        return new Refusal(REQUEST_TIMEOUT, "body_late", Optional.empty());
    }

    /** The request may have run. */
    static Refusal mayHaveRun(String reason) {
        return new Refusal(BAD_GATEWAY, reason, Optional.empty());
    }

    /** The route's timeout has passed. */
    static Refusal gatewayTimeout() {
        return new Refusal(TIMEOUT, "timed_out", Optional.empty());
    }
}
