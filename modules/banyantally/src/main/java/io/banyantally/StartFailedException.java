package io.banyantally;

/** A daemon could not start; the message names what is in the way. */
public final class StartFailedException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Creates the failure with its cause. */
    public StartFailedException(String message, Throwable cause) {
        super(message, cause);
    }
}
