package io.banyantally.deployment;

/** The headers of a caller's request are missing or invalid. */
public final class MalformedRequestException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Creates the exception; the message names the header and the error. */
    public MalformedRequestException(String message) {
        super(message);
    }
}
