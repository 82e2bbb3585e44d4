package io.banyantally.standins.demo;

/** A step of the demo did not succeed. */
final class DemoFailedException extends Exception {

    private static final long serialVersionUID = 1L;

    DemoFailedException(String message) {
        super(message);
    }

    DemoFailedException(String message, Throwable cause) {
        super(message, cause);
    }
}
