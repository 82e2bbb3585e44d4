package io.banyantally.internal.forwarding;

/** The request body was not complete before the deadline of the request. */
final class BodyTimeoutException extends Exception {

    private static final long serialVersionUID = 1L;

    BodyTimeoutException() {
        super("the request body was not complete before the deadline of the request");
    }
}
