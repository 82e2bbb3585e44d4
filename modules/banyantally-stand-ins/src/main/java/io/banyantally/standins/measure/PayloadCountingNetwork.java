package io.banyantally.standins.measure;

import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.peer.PeerRequestHandler;
import io.banyantally.internal.peer.Topic;
import io.banyantally.model.VmId;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Connects VMs in one process with a fixed one-way latency and counts the payload bytes by topic. */
final class PayloadCountingNetwork {

    private final Duration oneWayLatency;
    private final Map<VmId, Node> nodes = new ConcurrentHashMap<>();
    private final Map<Topic, LongAdder> bytes = new ConcurrentHashMap<>();

    PayloadCountingNetwork(Duration oneWayLatency) {
        this.oneWayLatency = oneWayLatency;
    }

    PeerNetwork join(Peer self) {
        Node node = new Node(self);
        nodes.put(self.vm(), node);
        return node;
    }

    /** Returns the payload bytes so far, of all topics. */
    long bytes() {
        return bytes.values().stream().mapToLong(LongAdder::sum).sum();
    }

    private void transmit(Topic topic, byte[] payload) throws PeerException {
        bytes.computeIfAbsent(topic, absent -> new LongAdder()).add(payload.length);
        try {
            Thread.sleep(oneWayLatency);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new PeerException("interrupted while sending", interrupted);
        }
    }

    private final class Node implements PeerNetwork {

        private final Peer self;
        private final Map<Topic, PeerRequestHandler> handlers = new ConcurrentHashMap<>();

        Node(Peer self) {
            this.self = self;
        }

        @Override
        public void handle(Topic topic, PeerRequestHandler handler) {
            handlers.put(topic, handler);
        }

        @Override
        public byte[] request(VmId peer, Topic topic, byte[] payload, Duration timeout) throws PeerException {
            Node receiver = nodes.get(peer);
            if (receiver == null) {
                throw new PeerException(peer + " does not exist");
            }
            transmit(topic, payload);
            byte[] answer = receiver.handlers.get(topic).handle(self, payload);
            transmit(topic, answer);
            return answer;
        }

        @Override
        public List<Peer> peers() {
            return nodes.values().stream()
                    .map(node -> node.self)
                    .filter(peer -> !peer.vm().equals(self.vm()))
                    .toList();
        }
    }
}
