package io.banyantally.platform;

/** A request to the platform failed. */
public abstract class PlatformException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Creates the exception; the message names the failed operation. */
    protected PlatformException(String message) {
        super(message);
    }

    /** Creates the exception with the failure that caused it. */
    protected PlatformException(String message, Throwable cause) {
        super(message, cause);
    }
}
