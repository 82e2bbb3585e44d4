package io.banyantally.internal.idempotency;

/** Ends the thread of a killed process inside a test. */
final class ProcessKilledError extends Error {
    private static final long serialVersionUID = 1L;
}
