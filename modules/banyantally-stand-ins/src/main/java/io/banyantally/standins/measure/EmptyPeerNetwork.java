package io.banyantally.standins.measure;

import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.peer.PeerRequestHandler;
import io.banyantally.internal.peer.Topic;
import io.banyantally.model.VmId;
import java.time.Duration;
import java.util.List;

/** The network of a VM that has no peers. */
final class EmptyPeerNetwork implements PeerNetwork {
    @Override
    public void handle(Topic topic, PeerRequestHandler handler) {}

    @Override
    public byte[] request(VmId peer, Topic topic, byte[] payload, Duration timeout) throws PeerException {
        throw new PeerException("this network has no peer " + peer);
    }

    @Override
    public List<Peer> peers() {
        return List.of();
    }
}
