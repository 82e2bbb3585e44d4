package io.banyantally.upstream;

/** An exchange with an upstream that did not end with a whole answer. */
public abstract sealed class UpstreamException extends Exception
        permits NotSentException,
                AnswerTruncatedException,
                WrongAnswerException,
                UpstreamRefusedException,
                StaleFencingNumberException {

    private static final long serialVersionUID = 1L;

    /** Creates the failure with a message that says what was tried. */
    protected UpstreamException(String message) {
        super(message);
    }

    /** Creates the failure with its cause. */
    protected UpstreamException(String message, Throwable cause) {
        super(message, cause);
    }

    /** Returns whether the upstream may have run the request; false only if that is certain. */
    public boolean mayHaveRun() {
        return true;
    }
}
