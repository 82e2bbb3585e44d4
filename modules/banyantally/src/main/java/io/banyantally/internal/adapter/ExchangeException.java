package io.banyantally.internal.adapter;

/** An HTTP request that did not get a complete response. */
public abstract sealed class ExchangeException extends Exception
        permits NothingSentException, IncompleteResponseException, ForeignResponseException {

    private static final long serialVersionUID = 1L;

    ExchangeException(String message) {
        super(message);
    }

    ExchangeException(String message, Throwable cause) {
        super(message, cause);
    }
}
