package io.banyantally.internal.peer;

import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.logging.Failures;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.model.VmId;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;

/**
 * Peer network over TCP. Each VM opens one connection to each peer for its own requests, and answers the peers'
 * requests on the connections that they opened.
 */
public final class TcpPeerNetwork implements PeerNetwork, AutoCloseable {

    private static final EventLog LOG = EventLog.of(TcpPeerNetwork.class);
    private static final Duration ACCEPTOR_STOP_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration HELLO_TIMEOUT = Duration.ofSeconds(2);

    /** An answer that can't be queued within this time is dropped; the timeouts of the requesters are shorter. */
    private static final Duration ANSWER_QUEUE_TIMEOUT = Duration.ofSeconds(2);

    /** Requests of one connection that are handled concurrently; its queue has room for as many answers. */
    private static final int MAXIMUM_CONCURRENT_REQUESTS = 1_024;

    private final Peer self;
    private final String site;
    private final InetSocketAddress listenAddress;
    private final MonotonicClock clock;
    private final Map<Topic, PeerRequestHandler> handlers = new ConcurrentHashMap<>();
    private final Map<VmId, PeerLink> links = new ConcurrentHashMap<>();
    private final Set<FrameConnection> acceptedConnections = ConcurrentHashMap.newKeySet();
    private ServerSocket server;
    private Thread acceptor;
    private volatile boolean closed;

    /** Creates a network that accepts no connections before {@link #start()}. */
    public TcpPeerNetwork(Peer self, String site, InetSocketAddress listenAddress, MonotonicClock clock) {
        this.self = self;
        this.site = site;
        this.listenAddress = listenAddress;
        this.clock = clock;
    }

    /** Starts to accept connections. */
    public void start() throws IOException {
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(listenAddress);
        acceptor = Thread.ofVirtual().name("peer-acceptor").start(this::acceptConnections);
    }

    /** Returns the port on which peers connect. */
    public int port() {
        return server.getLocalPort();
    }

    /** Replaces the set of peers to connect to; this VM is ignored. */
    public synchronized void setKnownPeers(Map<VmId, InetSocketAddress> known) {
        links.forEach((vm, link) -> {
            if (!link.address().equals(known.get(vm))) {
                links.remove(vm);
                link.close();
            }
        });
        known.forEach((vm, address) -> {
            if (!closed && !vm.equals(self.vm()) && !links.containsKey(vm)) {
                PeerLink link = new PeerLink(vm, address, HelloMessage.of(self, site), clock);
                links.put(vm, link);
                link.start();
            }
        });
    }

    @Override
    public void handle(Topic topic, PeerRequestHandler handler) {
        if (handlers.putIfAbsent(topic, handler) != null) {
            throw new IllegalStateException("topic " + topic + " already has a handler; set one handler for each");
        }
    }

    @Override
    public byte[] request(VmId peer, Topic topic, byte[] payload, Duration timeout) throws PeerException {
        if (payload.length > MAXIMUM_PAYLOAD_BYTES) {
            throw new IllegalArgumentException("payload of " + payload.length + " bytes for " + topic
                    + " is too large; at most " + MAXIMUM_PAYLOAD_BYTES + " are allowed");
        }
        PeerLink link = links.get(peer);
        if (link == null) {
            throw new PeerException(peer + " is not a known peer");
        }
        return link.request(topic, payload, timeout);
    }

    @Override
    public List<Peer> peers() {
        return links.values().stream()
                .map(PeerLink::peer)
                .flatMap(Optional::stream)
                .toList();
    }

    private void acceptConnections() {
        while (!closed) {
            try {
                Socket socket = server.accept();
                Thread.ofVirtual().name("peer-connection").start(() -> serveConnection(socket));
            } catch (IOException failure) {
                if (!closed) {
                    LOG.error("peer_accept_failed", failure);
                }
            } catch (RuntimeException | Error failure) {
                Failures.log(LOG, "peer_accept_failed", failure);
            }
        }
    }

    private void serveConnection(Socket socket) {
        try (FrameConnection connection = new FrameConnection(socket, "accepted")) {
            acceptedConnections.add(connection);
            try {
                serveRequests(connection);
            } finally {
                acceptedConnections.remove(connection);
            }
        } catch (IOException | PeerException ended) {
            if (!closed) {
                LOG.info("peer_connection_ended", EventField.of("reason", ended.getMessage()));
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private void serveRequests(FrameConnection connection) throws IOException, PeerException, InterruptedException {
        connection.setFrameStartTimeout(HELLO_TIMEOUT);
        HelloMessage hello = HelloMessage.CODEC.decode(connection.read().payload());
        byte[] answer = HelloMessage.CODEC.encode(HelloMessage.of(self, site));
        connection.send(new Frame(FrameKind.HELLO, 0, "", answer), HELLO_TIMEOUT);
        if (!hello.site().equals(site)) {
            throw new PeerException(hello.vm() + " belongs to site " + hello.site() + ", not " + site);
        }
        Peer sender = hello.toPeer();
        connection.setFrameStartTimeout(Duration.ZERO);
        Semaphore permits = new Semaphore(MAXIMUM_CONCURRENT_REQUESTS);
        while (!closed) {
            // The next request is read only when a permit is free, so that a sender with too many requests has to wait.
            permits.acquire();
            Frame request = connection.read();
            Thread.ofVirtual().name("peer-request").start(() -> {
                try {
                    handleAndAnswer(connection, sender, request);
                } finally {
                    permits.release();
                }
            });
        }
    }

    private void handleAndAnswer(FrameConnection connection, Peer sender, Frame request) {
        Frame answer;
        try {
            PeerRequestHandler handler = handlers.get(new Topic(request.topic()));
            if (handler == null) {
                throw new PeerException(self.vm() + " does not handle " + request.topic());
            }
            answer = new Frame(FrameKind.ANSWER, request.requestId(), "", handler.handle(sender, request.payload()));
        } catch (PeerException refused) {
            answer = failureFrame(request, refused);
        } catch (RuntimeException failed) {
            LOG.error("peer_request_failed", failed, EventField.of("topic", request.topic()));
            answer = failureFrame(request, failed);
        }
        try {
            connection.send(answer, ANSWER_QUEUE_TIMEOUT);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private static Frame failureFrame(Frame request, Exception cause) {
        return new Frame(
                FrameKind.FAILURE,
                request.requestId(),
                "",
                String.valueOf(cause.getMessage()).getBytes(StandardCharsets.UTF_8));
    }

    /** Closes all connections. The port can be bound again when it returns. */
    @Override
    public synchronized void close() throws IOException {
        closed = true;
        links.values().forEach(PeerLink::close);
        links.clear();
        acceptedConnections.forEach(FrameConnection::close);
        server.close();
        awaitAcceptor();
    }

    /** Waits for the acceptor thread, because the port stays bound until its blocked accept call has returned. */
    private void awaitAcceptor() {
        try {
            acceptor.join(ACCEPTOR_STOP_TIMEOUT);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
