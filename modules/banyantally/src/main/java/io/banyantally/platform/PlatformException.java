package io.banyantally.platform;

/** A call to the platform that did not succeed. */
public abstract class PlatformException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Creates the failure with a message that says what was tried. */
    protected PlatformException(String message) {
        super(message);
    }

    /** Creates the failure with its cause. */
    protected PlatformException(String message, Throwable cause) {
        super(message, cause);
    }
}
