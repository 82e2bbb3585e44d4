package io.banyantally.internal.peer;

/** Thrown when a request to a peer gets no valid answer. The peer may nevertheless have handled the request. */
public final class PeerException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Creates the exception with a message that names the peer or the topic. */
    public PeerException(String message) {
        super(message);
    }

    /** Creates the exception with a message and the failure that caused it. */
    public PeerException(String message, Throwable cause) {
        super(message, cause);
    }
}
