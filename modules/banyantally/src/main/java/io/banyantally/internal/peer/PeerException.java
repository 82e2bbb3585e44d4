package io.banyantally.internal.peer;

/** A request to a peer that got no answer. The peer may have handled it. */
public final class PeerException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Creates the failure with a message that names peer and topic. */
    public PeerException(String message) {
        super(message);
    }

    /** Creates the failure with its cause. */
    public PeerException(String message, Throwable cause) {
        super(message, cause);
    }
}
