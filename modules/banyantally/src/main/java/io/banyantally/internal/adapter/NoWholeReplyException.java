package io.banyantally.internal.adapter;

/** A part of the call may have left the process, and no whole answer came. */
public final class NoWholeReplyException extends ExchangeException {

    private static final long serialVersionUID = 1L;

    NoWholeReplyException(String message) {
        super(message);
    }

    NoWholeReplyException(String message, Throwable cause) {
        super(message, cause);
    }
}
