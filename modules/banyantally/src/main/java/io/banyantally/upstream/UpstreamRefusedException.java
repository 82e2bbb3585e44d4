package io.banyantally.upstream;

/** The upstream refused the request and reported that it did not run it. */
public final class UpstreamRefusedException extends UpstreamException {

    private static final long serialVersionUID = 1L;

    /** Creates the exception with a message that names the failed exchange. */
    public UpstreamRefusedException(String message) {
        super(message);
    }

    /** Creates the exception with a message that names the failed exchange, and its cause. */
    public UpstreamRefusedException(String message, Throwable cause) {
        super(message, cause);
    }

    @Override
    public boolean mayHaveRun() {
        return false;
    }
}
