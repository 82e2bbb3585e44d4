package io.banyantally.standins.experiment;

import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.peer.PeerRequestHandler;
import io.banyantally.internal.peer.Topic;
import io.banyantally.model.VmId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Connects the simulated entry VMs of one run. Messages have no latency; peer data is as old as the last exchange. */
final class SimulatedPeers {
    private final List<Node> nodes = new ArrayList<>();

    PeerNetwork join(Peer self) {
        Node node = new Node(self);
        nodes.add(node);
        return node;
    }

    private final class Node implements PeerNetwork {
        private final Peer self;
        private final Map<Topic, PeerRequestHandler> handlers = new HashMap<>();
        private List<Peer> others = List.of();

        private Node(Peer self) {
            this.self = self;
        }

        @Override
        public void handle(Topic topic, PeerRequestHandler handler) {
            handlers.put(topic, handler);
        }

        @Override
        public byte[] request(VmId peer, Topic topic, byte[] payload, Duration timeout) throws PeerException {
            for (Node node : nodes) {
                if (node.self.vm().equals(peer)) {
                    return node.handlers.get(topic).handle(self, payload);
                }
            }
            throw new PeerException("no VM " + peer + " in this run");
        }

        @Override
        public List<Peer> peers() {
            if (others.size() != nodes.size() - 1) {
                others = nodes.stream()
                        .filter(node -> node != this)
                        .map(node -> node.self)
                        .toList();
            }
            return others;
        }
    }
}
