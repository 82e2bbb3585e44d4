package io.banyantally.upstream;

/** The answer has another exchange id or a gap in its chunk index; it is not passed on to the caller. */
public final class WrongAnswerException extends UpstreamException {

    private static final long serialVersionUID = 1L;

    /** Creates the exception with a message that names the failed exchange. */
    public WrongAnswerException(String message) {
        super(message);
    }

    /** Creates the exception with a message that names the failed exchange, and its cause. */
    public WrongAnswerException(String message, Throwable cause) {
        super(message, cause);
    }
}
