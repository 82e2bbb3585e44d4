package io.banyantally;

/** A daemon could not start; the message names the reason. */
public final class StartFailedException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Creates the exception with the failure that caused it. */
    public StartFailedException(String message, Throwable cause) {
        super(message, cause);
    }
}
