package io.banyantally.internal.http;

import java.util.Locale;

/** The types of errors that are returned to callers, with their HTTP status. */
public enum ErrorType {
    /** The body is not valid JSON. */
    MALFORMED_JSON(400),
    /** A field of the body or a header has a wrong value. */
    INVALID_REQUEST(400),
    /** The prompt has more tokens than allowed. */
    PROMPT_TOO_LARGE(400),
    /** The request contains its key outside the Authorization header, where an upstream could read it. */
    KEY_EXPOSED(400),
    /** The request has no key or an invalid one. */
    INVALID_KEY(401),
    /** The client account may not use the model or service. */
    NOT_ALLOWED(403),
    /** There is no endpoint at the path. */
    NOT_FOUND(404),
    /** No service serves the model. */
    UNKNOWN_MODEL(404),
    /** There is no plain service with the name. */
    UNKNOWN_SERVICE(404),
    /** There is no record of a call with the idempotency key. */
    UNKNOWN_CALL(404),
    /** The path does not accept the method. */
    METHOD_NOT_ALLOWED(405),
    /** A call with the same idempotency key is in progress. */
    CALL_IN_PROGRESS(409),
    /** The body is larger than allowed. */
    BODY_TOO_LARGE(413),
    /** The idempotency key was used for a different request. */
    IDEMPOTENCY_KEY_REUSED(422),
    /** The client account has reached a limit. */
    ACCOUNT_LIMIT(429),
    /** The headers are larger than allowed. */
    HEADERS_TOO_LARGE(431),
    /** An unexpected error in this VM, or a request stopped by an invariant check. */
    INTERNAL_ERROR(500),
    /** The upstream failed after it may have run the request. */
    UPSTREAM_FAILED(502),
    /** The request may have run; the caller may query its outcome later. */
    OUTCOME_UNKNOWN(502),
    /** This VM can't prove that its configuration is current. */
    CONFIGURATION_NOT_PROVEN(503),
    /** The upstreams are too busy to answer within the time limit. */
    OVERLOADED(503),
    /** No upstream accepts the request. */
    NO_UPSTREAM(503),
    /** The call was not sent, or the upstream is known not to have run it. */
    CALL_NOT_RUN(503),
    /** This VM is shutting down. */
    DRAINING(503);

    private final int status;

    ErrorType(int status) {
        this.status = status;
    }

    /** Returns the HTTP status code of responses with this error. */
    public int status() {
        return status;
    }

    /** Returns the name in the JSON error body: the constant's name in lower case. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
