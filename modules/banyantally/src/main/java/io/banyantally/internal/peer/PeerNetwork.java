package io.banyantally.internal.peer;

import io.banyantally.model.VmId;
import java.time.Duration;
import java.util.List;

/** Sends requests to other entry VMs and handles theirs, in MessagePack of at most {@link #MAXIMUM_PAYLOAD_BYTES}. */
public interface PeerNetwork {

    /** The largest payload of a request or an answer, in bytes. */
    int MAXIMUM_PAYLOAD_BYTES = 1_000_000;

    /** Sets the handler of a topic. Each topic has exactly one handler, set before the first request. */
    void handle(Topic topic, PeerRequestHandler handler);

    /**
     * Sends a request and waits for its answer.
     *
     * @throws PeerException if no answer came within {@code timeout} or the peer's handler failed
     */
    byte[] request(VmId peer, Topic topic, byte[] payload, Duration timeout) throws PeerException;

    /** Returns the currently connected peers, without this VM. */
    List<Peer> peers();
}
