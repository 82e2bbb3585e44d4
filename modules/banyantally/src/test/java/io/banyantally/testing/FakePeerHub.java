package io.banyantally.testing;

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

/** Connects the in-memory peer networks of several VMs in a test. Links can be cut in one or both directions. */
public final class FakePeerHub {

    private final Map<VmId, Node> nodes = new ConcurrentHashMap<>();
    private final Set<Link> cutLinks = ConcurrentHashMap.newKeySet();

    /** Adds a VM and returns its network. Adding a VM again replaces its earlier incarnation. */
    public PeerNetwork join(Peer self) {
        Node node = new Node(self);
        nodes.put(self.vm(), node);
        return node;
    }

    /** Removes a VM, as if it were killed. */
    public void remove(VmId vm) {
        nodes.remove(vm);
    }

    /** Cuts both directions between two VMs. */
    public void cut(VmId one, VmId other) {
        cutOneWay(one, other);
        cutOneWay(other, one);
    }

    /** Cuts the link from {@code sender} to {@code receiver} for requests and responses. */
    public void cutOneWay(VmId sender, VmId receiver) {
        cutLinks.add(new Link(sender, receiver));
    }

    /** Cuts both directions between a VM and all others. */
    public void isolate(VmId vm) {
        nodes.keySet().stream().filter(other -> !other.equals(vm)).forEach(other -> cut(vm, other));
    }

    /** Restores all links. */
    public void restoreAll() {
        cutLinks.clear();
    }

    private boolean isCut(VmId sender, VmId receiver) {
        return cutLinks.contains(new Link(sender, receiver));
    }

    private record Link(VmId sender, VmId receiver) {}

    private final class Node implements PeerNetwork {

        private final Peer self;
        private final Map<Topic, PeerRequestHandler> handlers = new ConcurrentHashMap<>();

        Node(Peer self) {
            this.self = self;
        }

        @Override
        public void handle(Topic topic, PeerRequestHandler handler) {
            if (handlers.putIfAbsent(topic, handler) != null) {
                throw new IllegalStateException("topic " + topic + " already has a handler; set one handler for each");
            }
        }

        @Override
        public byte[] request(VmId peer, Topic topic, byte[] payload, Duration timeout) throws PeerException {
            Node receiver = nodes.get(peer);
            if (receiver == null || nodes.get(self.vm()) != this || isCut(self.vm(), peer)) {
                throw new PeerException("no connection from " + self.vm() + " to " + peer + " for " + topic);
            }
            PeerRequestHandler handler = receiver.handlers.get(topic);
            if (handler == null) {
                throw new PeerException(peer + " does not handle " + topic);
            }
            byte[] response = handler.handle(self, payload.clone());
            if (isCut(peer, self.vm())) {
                throw new PeerException("response of " + peer + " to " + topic + " is lost");
            }
            return response.clone();
        }

        @Override
        public List<Peer> peers() {
            return nodes.values().stream()
                    .map(node -> node.self)
                    .filter(peer -> !peer.vm().equals(self.vm()))
                    .filter(peer -> !isCut(self.vm(), peer.vm()) && !isCut(peer.vm(), self.vm()))
                    .toList();
        }
    }
}
