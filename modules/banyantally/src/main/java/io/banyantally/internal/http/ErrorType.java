package io.banyantally.internal.http;

import java.util.Locale;

/** The types of errors that callers see, with their HTTP status. */
public enum ErrorType {
    /** The body is not valid JSON. */
    MALFORMED_JSON(400),
    /** A field of the body or a header has a wrong value. */
    INVALID_REQUEST(400),
    /** The prompt has more tokens than allowed. */
    PROMPT_TOO_LARGE(400),
    /** The request carries its key outside the Authorization header, where an upstream could see it. */
    KEY_EXPOSED(400),
    /** The request carries no key, or one that is not valid. */
    INVALID_KEY(401),
    /** The client account may not use the model or service. */
    NOT_ALLOWED(403),
    /** No such path. */
    NOT_FOUND(404),
    /** No such model. */
    UNKNOWN_MODEL(404),
    /** No such service. */
    UNKNOWN_SERVICE(404),
    /** No call with this idempotency key is known. */
    UNKNOWN_CALL(404),
    /** The path does not take this method. */
    METHOD_NOT_ALLOWED(405),
    /** A call with the same idempotency key is running. */
    CALL_IN_PROGRESS(409),
    /** The body is larger than allowed. */
    BODY_TOO_LARGE(413),
    /** The idempotency key was used with another request. */
    IDEMPOTENCY_KEY_REUSED(422),
    /** The client account has reached a limit. */
    ACCOUNT_LIMIT(429),
    /** The headers are larger than allowed. */
    HEADERS_TOO_LARGE(431),
    /** A fault in this system. */
    INTERNAL_ERROR(500),
    /** The upstream failed after it may have run the request. */
    UPSTREAM_FAILED(502),
    /** The request may have run; ask for its outcome later. */
    OUTCOME_UNKNOWN(502),
    /** This VM can't prove that its configuration is current. */
    CONFIGURATION_NOT_PROVEN(503),
    /** The fleet is too busy to answer in time. */
    OVERLOADED(503),
    /** No upstream can take the request. */
    NO_UPSTREAM(503),
    /** The call was not sent. */
    CALL_NOT_RUN(503),
    /** This VM is shutting down. */
    DRAINING(503);

    private final int status;

    ErrorType(int status) {
        this.status = status;
    }

    /** Returns the HTTP status. */
    public int status() {
        return status;
    }

    /** Returns the name in the JSON error. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
