package io.banyantally.internal.peer;

/** Handles the requests of one topic. Called in a task of its own for each request. */
@FunctionalInterface
public interface PeerRequestHandler {

    /** Returns the answer to a request from {@code sender}; a failure is passed to the sender as its message. */
    byte[] handle(Peer sender, byte[] payload) throws PeerException;
}
