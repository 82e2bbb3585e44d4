package io.banyantally.upstream;

/** The exchange ended before the end mark of the answer; the upstream may have run the request. */
public final class AnswerTruncatedException extends UpstreamException {

    private static final long serialVersionUID = 1L;

    /** Creates the failure with a message that says what was tried. */
    public AnswerTruncatedException(String message) {
        super(message);
    }

    /** Creates the failure with its cause. */
    public AnswerTruncatedException(String message, Throwable cause) {
        super(message, cause);
    }
}
