package io.banyantally.deployment;

/** A stored document or a response body does not have the expected form. */
public final class UnreadableDocumentException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Creates the exception; the message names the error in the document. */
    public UnreadableDocumentException(String message) {
        super(message);
    }

    /** Creates the exception with its cause. */
    public UnreadableDocumentException(String message, Throwable cause) {
        super(message, cause);
    }
}
