package io.banyantally.upstream;

/** The upstream has seen a higher fencing number and did not run the order. */
public final class StaleFencingNumberException extends UpstreamException {

    private static final long serialVersionUID = 1L;

    /** Creates the failure with a message that says what was tried. */
    public StaleFencingNumberException(String message) {
        super(message);
    }

    /** Creates the failure with its cause. */
    public StaleFencingNumberException(String message, Throwable cause) {
        super(message, cause);
    }
}
