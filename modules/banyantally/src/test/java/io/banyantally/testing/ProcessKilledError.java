package io.banyantally.testing;

/** Ends a thread of a simulated process that the test kills. */
public final class ProcessKilledError extends Error {
    private static final long serialVersionUID = 1L;
}
