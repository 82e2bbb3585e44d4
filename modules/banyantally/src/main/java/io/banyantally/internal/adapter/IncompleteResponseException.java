package io.banyantally.internal.adapter;

/** A part of the request may have been sent, and no complete response arrived. */
public final class IncompleteResponseException extends ExchangeException {

    private static final long serialVersionUID = 1L;

    IncompleteResponseException(String message) {
        super(message);
    }

    IncompleteResponseException(String message, Throwable cause) {
        super(message, cause);
    }
}
