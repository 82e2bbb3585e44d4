package io.banyantally.platform;

/** No answer came from a platform interface to a call that was sent: it may have happened. */
public final class InterfaceOutcomeUnknownException extends PlatformException {

    private static final long serialVersionUID = 1L;

    /** Creates the failure with a message that says what was tried. */
    public InterfaceOutcomeUnknownException(String message) {
        super(message);
    }

    /** Creates the failure with its cause. */
    public InterfaceOutcomeUnknownException(String message, Throwable cause) {
        super(message, cause);
    }
}
