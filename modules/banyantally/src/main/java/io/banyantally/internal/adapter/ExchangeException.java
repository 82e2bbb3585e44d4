package io.banyantally.internal.adapter;

/** An HTTP call that did not end with a whole answer. */
public abstract sealed class ExchangeException extends Exception permits NothingSentException, NoWholeReplyException {

    private static final long serialVersionUID = 1L;

    ExchangeException(String message) {
        super(message);
    }

    ExchangeException(String message, Throwable cause) {
        super(message, cause);
    }
}
