package io.banyantally.deployment;

/** A caller's request whose headers cannot be used. */
public final class MalformedRequestException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Creates the failure with a message that names the header and what is wrong with it. */
    public MalformedRequestException(String message) {
        super(message);
    }
}
