package io.banyantally.platform;

/** A platform interface could not be reached or refused the request, which was not executed. */
public final class InterfaceUnavailableException extends PlatformException {

    private static final long serialVersionUID = 1L;

    /** Creates the exception; the message names the failed operation. */
    public InterfaceUnavailableException(String message) {
        super(message);
    }

    /** Creates the exception with the failure that caused it. */
    public InterfaceUnavailableException(String message, Throwable cause) {
        super(message, cause);
    }
}
