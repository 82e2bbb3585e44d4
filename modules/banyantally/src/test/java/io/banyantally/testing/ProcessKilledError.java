package io.banyantally.testing;

/** Ends the thread of a killed process inside a test. */
public final class ProcessKilledError extends Error {
    private static final long serialVersionUID = 1L;
}
