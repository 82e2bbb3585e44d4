package io.banyantally.deployment;

/** Whether a request of a route may be retried after a failure. */
public enum RequestKind {
    /** May run more than once. */
    IDEMPOTENT,
    /** Runs at most once for each attempt of the caller. */
    NON_IDEMPOTENT,
    /** Responds with an event stream; runs at most once unless the route is resumable. */
    STREAMING
}
