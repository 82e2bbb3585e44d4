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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

/** Connects VMs inside one process with a fixed one-way latency; counts messages and payload bytes. */
final class DelayedNetwork {
    private final Duration oneWayLatency;
    private final Map<VmId, Node> nodes = new ConcurrentHashMap<>();

    DelayedNetwork(Duration oneWayLatency) {
        this.oneWayLatency = oneWayLatency;
    }

    Node join(Peer self) {
        Node node = new Node(self);
        nodes.put(self.vm(), node);
        return node;
    }

    /** Removes a VM; requests and responses in transit to or from it are lost. */
    void remove(VmId vm) {
        nodes.remove(vm);
    }

    /** The network interface of one VM. */
    final class Node implements PeerNetwork {
        final LongAdder messages = new LongAdder();
        final LongAdder bytes = new LongAdder();
        private final Peer self;
        private final Map<Topic, PeerRequestHandler> handlers = new ConcurrentHashMap<>();

        private Node(Peer self) {
            this.self = self;
        }

        @Override
        public void handle(Topic topic, PeerRequestHandler handler) {
            handlers.put(topic, handler);
        }

        @Override
        public byte[] request(VmId peer, Topic topic, byte[] payload, Duration timeout) throws PeerException {
            messages.increment();
            bytes.add(payload.length);
            byte[] answer = transmit(peer).handlers.get(topic).handle(self, payload);
            transmit(peer);
            messages.increment();
            bytes.add(answer.length);
            return answer;
        }

        private Node transmit(VmId peer) throws PeerException {
            try {
                TimeUnit.NANOSECONDS.sleep(oneWayLatency.toNanos());
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                throw new PeerException("interrupted while sending to " + peer, interrupted);
            }
            Node receiver = nodes.get(peer);
            if (receiver == null || nodes.get(self.vm()) != this) {
                throw new PeerException("no connection from " + self.vm() + " to " + peer);
            }
            return receiver;
        }

        @Override
        public List<Peer> peers() {
            return nodes.values().stream()
                    .filter(node -> node != this)
                    .map(node -> node.self)
                    .toList();
        }
    }
}
