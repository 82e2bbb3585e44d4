package io.banyantally.deployment;

/** What may be repeated when a request of a route fails. */
public enum RequestKind {
    /** May run more than once. */
    IDEMPOTENT,
    /** Runs at most once for each attempt of the caller. */
    NON_IDEMPOTENT,
    /** Answers with events; runs at most once unless the route is resumable. */
    STREAMING
}
