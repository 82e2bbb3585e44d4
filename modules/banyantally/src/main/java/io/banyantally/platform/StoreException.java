package io.banyantally.platform;

/** A request to the key-value service failed. */
public abstract sealed class StoreException extends PlatformException
        permits StoreUnavailableException,
                OutcomeUnknownException,
                RevisionConflictException,
                LeaseLapsedException,
                HistoryDiscardedException {

    private static final long serialVersionUID = 1L;

    /** Creates the exception; the message names the failed operation. */
    protected StoreException(String message) {
        super(message);
    }

    /** Creates the exception with the failure that caused it. */
    protected StoreException(String message, Throwable cause) {
        super(message, cause);
    }
}
