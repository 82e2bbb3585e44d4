package io.banyantally.platform;

/** A platform interface could not be reached or refused the call; nothing happened. */
public final class InterfaceUnavailableException extends PlatformException {

    private static final long serialVersionUID = 1L;

    /** Creates the failure with a message that says what was tried. */
    public InterfaceUnavailableException(String message) {
        super(message);
    }

    /** Creates the failure with its cause. */
    public InterfaceUnavailableException(String message, Throwable cause) {
        super(message, cause);
    }
}
