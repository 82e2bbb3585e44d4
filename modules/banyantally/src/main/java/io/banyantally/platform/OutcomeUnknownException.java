package io.banyantally.platform;

/** No answer came to a write that was sent: it may have happened. Read back before trying again. */
public final class OutcomeUnknownException extends StoreException {

    private static final long serialVersionUID = 1L;

    /** Creates the failure with a message that says what was tried. */
    public OutcomeUnknownException(String message) {
        super(message);
    }

    /** Creates the failure with its cause. */
    public OutcomeUnknownException(String message, Throwable cause) {
        super(message, cause);
    }
}
