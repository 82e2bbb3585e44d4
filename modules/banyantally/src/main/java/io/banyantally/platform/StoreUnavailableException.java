package io.banyantally.platform;

/** The key-value service could not be reached or refused the call; a write certainly did not happen. */
public final class StoreUnavailableException extends StoreException {

    private static final long serialVersionUID = 1L;

    /** Creates the failure with a message that says what was tried. */
    public StoreUnavailableException(String message) {
        super(message);
    }

    /** Creates the failure with its cause. */
    public StoreUnavailableException(String message, Throwable cause) {
        super(message, cause);
    }
}
