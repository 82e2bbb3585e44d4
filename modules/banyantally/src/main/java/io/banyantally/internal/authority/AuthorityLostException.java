package io.banyantally.internal.authority;

/** This process no longer owns the scope; it must not act for it again under the same fencing number. */
public final class AuthorityLostException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Creates the failure with a message that says what showed the loss. */
    public AuthorityLostException(String message) {
        super(message);
    }

    /** Creates the failure with its cause. */
    public AuthorityLostException(String message, Throwable cause) {
        super(message, cause);
    }
}
