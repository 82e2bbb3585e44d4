package io.banyantally.internal.exchange;

import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.peer.PeerRequestHandler;
import io.banyantally.internal.peer.Topic;
import io.banyantally.model.VmId;
import java.time.Duration;
import java.util.List;

/** A network that tells each request that its VM receives. */
record CountingNetwork(PeerNetwork network, Runnable received) implements PeerNetwork {

    @Override
    public void handle(Topic topic, PeerRequestHandler handler) {
        network.handle(topic, (sender, payload) -> {
            received.run();
            return handler.handle(sender, payload);
        });
    }

    @Override
    public byte[] request(VmId peer, Topic topic, byte[] payload, Duration timeout) throws PeerException {
        return network.request(peer, topic, payload, timeout);
    }

    @Override
    public List<Peer> peers() {
        return network.peers();
    }
}
