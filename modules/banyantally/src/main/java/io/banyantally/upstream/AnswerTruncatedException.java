package io.banyantally.upstream;

/** The exchange ended before the end mark of the answer; the upstream may have run the request. */
public final class AnswerTruncatedException extends UpstreamException {

    private static final long serialVersionUID = 1L;

    /** Creates the exception with a message that names the failed exchange. */
    public AnswerTruncatedException(String message) {
        super(message);
    }

    /** Creates the exception with a message that names the failed exchange, and its cause. */
    public AnswerTruncatedException(String message, Throwable cause) {
        super(message, cause);
    }
}
