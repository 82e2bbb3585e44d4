package io.banyantally.platform;

/** A call to the key-value service that did not succeed. */
public abstract sealed class StoreException extends PlatformException
        permits StoreUnavailableException,
                OutcomeUnknownException,
                RevisionConflictException,
                LeaseLapsedException,
                HistoryDiscardedException {

    private static final long serialVersionUID = 1L;

    /** Creates the failure with a message that says what was tried. */
    protected StoreException(String message) {
        super(message);
    }

    /** Creates the failure with its cause. */
    protected StoreException(String message, Throwable cause) {
        super(message, cause);
    }
}
