package io.banyantally.platform;

/** The key-value service could not be reached or refused the request; a write was not applied. */
public final class StoreUnavailableException extends StoreException {

    private static final long serialVersionUID = 1L;

    /** Creates the exception; the message names the failed operation. */
    public StoreUnavailableException(String message) {
        super(message);
    }

    /** Creates the exception with the failure that caused it. */
    public StoreUnavailableException(String message, Throwable cause) {
        super(message, cause);
    }
}
