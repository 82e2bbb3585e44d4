package io.banyantally.upstream;

/** An exchange with an upstream that did not end with a complete answer. */
public abstract sealed class UpstreamException extends Exception
        permits NotSentException,
                AnswerTruncatedException,
                WrongAnswerException,
                UpstreamRefusedException,
                StaleFencingNumberException {

    private static final long serialVersionUID = 1L;

    /** Creates the exception with a message that names the failed exchange. */
    protected UpstreamException(String message) {
        super(message);
    }

    /** Creates the exception with a message that names the failed exchange, and its cause. */
    protected UpstreamException(String message, Throwable cause) {
        super(message, cause);
    }

    /** Returns whether the upstream may have run the request; false only if that is certain. */
    public boolean mayHaveRun() {
        return true;
    }
}
