package io.banyantally.platform;

/** The lease no longer exists, and a write with it was not applied. */
public final class LeaseLapsedException extends StoreException {

    private static final long serialVersionUID = 1L;

    /** Creates the exception; the message names the failed operation. */
    public LeaseLapsedException(String message) {
        super(message);
    }

    /** Creates the exception with the failure that caused it. */
    public LeaseLapsedException(String message, Throwable cause) {
        super(message, cause);
    }
}
