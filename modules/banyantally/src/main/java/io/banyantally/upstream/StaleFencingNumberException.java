package io.banyantally.upstream;

/** The upstream has seen a higher fencing number and did not run the order. */
public final class StaleFencingNumberException extends UpstreamException {

    private static final long serialVersionUID = 1L;

    /** Creates the exception with a message that names the failed exchange. */
    public StaleFencingNumberException(String message) {
        super(message);
    }

    /** Creates the exception with a message that names the failed exchange, and its cause. */
    public StaleFencingNumberException(String message, Throwable cause) {
        super(message, cause);
    }
}
