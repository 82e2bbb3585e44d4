package io.banyantally.deployment;

/** A stored document that does not have the expected form. */
public final class UnreadableDocumentException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Creates the failure with a message that names what is wrong. */
    public UnreadableDocumentException(String message) {
        super(message);
    }

    /** Creates the failure with its cause. */
    public UnreadableDocumentException(String message, Throwable cause) {
        super(message, cause);
    }
}
