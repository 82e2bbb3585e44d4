package io.banyantally.internal.adapter;

/** A part of the request may have been sent, and no complete response arrived. */
public final class NoWholeReplyException extends ExchangeException {

    private static final long serialVersionUID = 1L;

    NoWholeReplyException(String message) {
        super(message);
    }

    NoWholeReplyException(String message, Throwable cause) {
        super(message, cause);
    }
}
