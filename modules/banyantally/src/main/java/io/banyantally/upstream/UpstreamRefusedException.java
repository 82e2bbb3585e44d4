package io.banyantally.upstream;

/** The upstream said that it did not run the request. */
public final class UpstreamRefusedException extends UpstreamException {

    private static final long serialVersionUID = 1L;

    /** Creates the failure with a message that says what was tried. */
    public UpstreamRefusedException(String message) {
        super(message);
    }

    /** Creates the failure with its cause. */
    public UpstreamRefusedException(String message, Throwable cause) {
        super(message, cause);
    }

    @Override
    public boolean mayHaveRun() {
        return false;
    }
}
