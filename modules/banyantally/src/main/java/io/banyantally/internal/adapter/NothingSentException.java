package io.banyantally.internal.adapter;

/** No byte of the request was sent. */
public final class NothingSentException extends ExchangeException {

    private static final long serialVersionUID = 1L;

    NothingSentException(String message) {
        super(message);
    }

    NothingSentException(String message, Throwable cause) {
        super(message, cause);
    }
}
