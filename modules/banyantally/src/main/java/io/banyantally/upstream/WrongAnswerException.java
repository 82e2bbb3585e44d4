package io.banyantally.upstream;

/** The answer carries another exchange id or a gap in its index; it is not given to the caller. */
public final class WrongAnswerException extends UpstreamException {

    private static final long serialVersionUID = 1L;

    /** Creates the failure with a message that says what was tried. */
    public WrongAnswerException(String message) {
        super(message);
    }

    /** Creates the failure with its cause. */
    public WrongAnswerException(String message, Throwable cause) {
        super(message, cause);
    }
}
