package io.banyantally.upstream;

/** No byte of the request left the process, so the upstream certainly did not run it. */
public final class NotSentException extends UpstreamException {

    private static final long serialVersionUID = 1L;

    /** Creates the exception with a message that names the failed exchange. */
    public NotSentException(String message) {
        super(message);
    }

    /** Creates the exception with a message that names the failed exchange, and its cause. */
    public NotSentException(String message, Throwable cause) {
        super(message, cause);
    }

    @Override
    public boolean mayHaveRun() {
        return false;
    }
}
