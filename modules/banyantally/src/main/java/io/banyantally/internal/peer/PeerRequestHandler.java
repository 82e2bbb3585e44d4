package io.banyantally.internal.peer;

/** Handles the requests of one topic. Each call runs in a task of its own. */
@FunctionalInterface
public interface PeerRequestHandler {

    /** Returns the answer to a request from {@code sender}; if it throws, the exception's message is sent instead. */
    byte[] handle(Peer sender, byte[] payload) throws PeerException;
}
