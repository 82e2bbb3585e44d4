package io.banyantally.standins.demo;

/** Signals that a step of the demo failed. */
final class DemoFailedException extends Exception {

    private static final long serialVersionUID = 1L;

    DemoFailedException(String message) {
        super(message);
    }

    DemoFailedException(String message, Throwable cause) {
        super(message, cause);
    }
}
