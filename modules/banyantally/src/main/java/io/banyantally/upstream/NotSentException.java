package io.banyantally.upstream;

/** No byte of the request left the process, so the upstream certainly did not run it. */
public final class NotSentException extends UpstreamException {

    private static final long serialVersionUID = 1L;

    /** Creates the failure with a message that says what was tried. */
    public NotSentException(String message) {
        super(message);
    }

    /** Creates the failure with its cause. */
    public NotSentException(String message, Throwable cause) {
        super(message, cause);
    }

    @Override
    public boolean mayHaveRun() {
        return false;
    }
}
