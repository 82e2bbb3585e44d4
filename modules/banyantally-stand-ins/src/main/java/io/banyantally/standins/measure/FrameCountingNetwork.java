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
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Connects VMs in one process and counts their messages and the bytes that these would take as frames on the wire. */
final class FrameCountingNetwork {

    /** Overhead of a frame: length, array header, kind, exchange, topic header and payload header. */
    private static final int FRAME_BYTES = 4 + 1 + 1 + 5 + 2 + 3;

    private final Map<VmId, Node> nodes = new ConcurrentHashMap<>();

    Node join(Peer self) {
        Node node = new Node(self);
        nodes.put(self.vm(), node);
        return node;
    }

    /** The network interface of one VM. A message counts at its sender and at its receiver. */
    final class Node implements PeerNetwork {

        private final Peer self;
        private final Map<Topic, PeerRequestHandler> handlers = new ConcurrentHashMap<>();
        private final Map<Topic, LongAdder> messages = new ConcurrentHashMap<>();
        private final Map<Topic, LongAdder> bytes = new ConcurrentHashMap<>();
        private volatile Set<VmId> connectedPeers = Set.of();

        Node(Peer self) {
            this.self = self;
        }

        void connect(Set<VmId> peers) {
            connectedPeers = Set.copyOf(peers);
        }

        int connections() {
            return connectedPeers.size();
        }

        @Override
        public void handle(Topic topic, PeerRequestHandler handler) {
            handlers.put(topic, handler);
        }

        @Override
        public byte[] request(VmId peer, Topic topic, byte[] payload, Duration timeout) throws PeerException {
            Node receiver = nodes.get(peer);
            PeerRequestHandler handler = receiver == null ? null : receiver.handlers.get(topic);
            if (handler == null || !connectedPeers.contains(peer)) {
                throw new PeerException("no connection from " + self.vm() + " to " + peer + " for " + topic);
            }
            count(receiver, topic, payload.length + topic.name().length());
            byte[] answer = handler.handle(self, payload);
            count(receiver, topic, answer.length);
            return answer;
        }

        private void count(Node receiver, Topic topic, int payload) {
            add(topic, payload);
            receiver.add(topic, payload);
        }

        private void add(Topic topic, int payload) {
            messages.computeIfAbsent(topic, absent -> new LongAdder()).increment();
            bytes.computeIfAbsent(topic, absent -> new LongAdder()).add(payload + FRAME_BYTES);
        }

        long messages(String topic) {
            return sum(messages, topic);
        }

        long bytes(String topic) {
            return sum(bytes, topic);
        }

        private static long sum(Map<Topic, LongAdder> counts, String topic) {
            LongAdder count = counts.get(new Topic(topic));
            return count == null ? 0 : count.sum();
        }

        void reset() {
            messages.clear();
            bytes.clear();
        }

        @Override
        public List<Peer> peers() {
            return connectedPeers.stream()
                    .map(nodes::get)
                    .map(node -> node.self)
                    .toList();
        }
    }
}
