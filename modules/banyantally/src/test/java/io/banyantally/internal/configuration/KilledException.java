package io.banyantally.internal.configuration;

/** Thrown out of a call of a VM that a test kills in the middle of it. */
final class KilledException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    KilledException() {
        super("killed by the test");
    }
}
