package io.banyantally.platform;

/** The lease no longer exists; a write with it did not happen. */
public final class LeaseLapsedException extends StoreException {

    private static final long serialVersionUID = 1L;

    /** Creates the failure with a message that says what was tried. */
    public LeaseLapsedException(String message) {
        super(message);
    }

    /** Creates the failure with its cause. */
    public LeaseLapsedException(String message, Throwable cause) {
        super(message, cause);
    }
}
