package io.banyantally.platform;

/** A platform interface sent no valid response to a request, which may have been executed. */
public final class InterfaceOutcomeUnknownException extends PlatformException {

    private static final long serialVersionUID = 1L;

    /** Creates the exception; the message names the failed operation. */
    public InterfaceOutcomeUnknownException(String message) {
        super(message);
    }

    /** Creates the exception with the failure that caused it. */
    public InterfaceOutcomeUnknownException(String message, Throwable cause) {
        super(message, cause);
    }
}
