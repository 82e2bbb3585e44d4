package io.banyantally.internal.configuration;

/** Aborts a call of a VM that the test has killed. */
final class KilledException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    KilledException() {
        super("killed by the test");
    }
}
