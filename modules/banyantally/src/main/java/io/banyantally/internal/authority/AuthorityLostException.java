package io.banyantally.internal.authority;

/** Thrown when this process no longer owns a scope; it must not act for it again under the same fencing number. */
public final class AuthorityLostException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Creates the exception with a message that says how the loss was detected. */
    public AuthorityLostException(String message) {
        super(message);
    }

    /** Creates the exception with a message and the failure that revealed the loss. */
    public AuthorityLostException(String message, Throwable cause) {
        super(message, cause);
    }
}
