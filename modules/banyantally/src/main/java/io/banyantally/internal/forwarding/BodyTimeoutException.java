package io.banyantally.internal.forwarding;

/** The body of a request did not end within the request's time limit. */
final class BodyTimeoutException extends Exception {

    private static final long serialVersionUID = 1L;

    BodyTimeoutException() {
        super("the body has not ended in time");
    }
}
