package io.banyantally.platform;

/** A write got no valid response and may have been applied. Read the key before a retry. */
public final class OutcomeUnknownException extends StoreException {

    private static final long serialVersionUID = 1L;

    /** Creates the exception; the message names the failed operation. */
    public OutcomeUnknownException(String message) {
        super(message);
    }

    /** Creates the exception with the failure that caused it. */
    public OutcomeUnknownException(String message, Throwable cause) {
        super(message, cause);
    }
}
