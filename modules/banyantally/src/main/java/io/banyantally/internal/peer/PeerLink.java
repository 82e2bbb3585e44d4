package io.banyantally.internal.peer;

import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.logging.Failures;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.model.VmId;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;

/** The outgoing connection to one peer: one task connects, reads answers, and reconnects after a failure. */
final class PeerLink implements AutoCloseable {

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration HELLO_TIMEOUT = Duration.ofSeconds(2);

    /** A connection without answers for this long is closed, so that requests fail fast and the task reconnects. */
    private static final Duration UNRESPONSIVE_LIMIT = Duration.ofSeconds(2);

    private static final int MINIMUM_RECONNECT_MILLIS = 100;
    private static final int MAXIMUM_RECONNECT_MILLIS = 400;

    private static final EventLog LOG = EventLog.of(PeerLink.class);

    private final VmId vm;
    private final InetSocketAddress address;
    private final HelloMessage hello;
    private final MonotonicClock clock;
    private final AtomicLong lastRequestId = new AtomicLong();
    private final Map<Long, CompletableFuture<byte[]>> pending = new ConcurrentHashMap<>();
    private final Thread task;
    private volatile boolean closed;
    private volatile Optional<Peer> peer = Optional.empty();
    private volatile FrameConnection connection;
    private volatile long lastAnswerNanos;

    PeerLink(VmId vm, InetSocketAddress address, HelloMessage hello, MonotonicClock clock) {
        this.vm = vm;
        this.address = address;
        this.hello = hello;
        this.clock = clock;
        this.task = Thread.ofVirtual().name("peer-link-" + vm).unstarted(this::run);
    }

    void start() {
        task.start();
    }

    InetSocketAddress address() {
        return address;
    }

    /** Returns the peer while connected, otherwise empty. */
    Optional<Peer> peer() {
        return peer;
    }

    byte[] request(Topic topic, byte[] payload, Duration timeout) throws PeerException {
        FrameConnection current = connection;
        if (current == null || peer.isEmpty()) {
            throw new PeerException("no connection to " + vm + " for " + topic);
        }
        long requestId = lastRequestId.incrementAndGet();
        CompletableFuture<byte[]> answer = new CompletableFuture<>();
        pending.put(requestId, answer);
        try {
            if (!current.send(new Frame(FrameKind.REQUEST, requestId, topic.name(), payload), timeout)) {
                throw new PeerException(
                        vm + " does not read from the connection; request for " + topic + " was not sent");
            }
            return answer.get(timeout.toNanos(), TimeUnit.NANOSECONDS);
        } catch (TimeoutException late) {
            closeIfUnresponsive(current);
            throw new PeerException(vm + " did not answer " + topic + " within " + timeout.toMillis() + " ms", late);
        } catch (ExecutionException failed) {
            throw new PeerException(
                    vm + " did not complete " + topic + ": " + failed.getCause().getMessage(), failed);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new PeerException("request for " + topic + " to " + vm + " was interrupted", interrupted);
        } finally {
            pending.remove(requestId);
        }
    }

    private void closeIfUnresponsive(FrameConnection current) {
        if (clock.since(lastAnswerNanos).compareTo(UNRESPONSIVE_LIMIT) > 0) {
            current.close();
        }
    }

    private void run() {
        while (!closed) {
            try (Socket socket = new Socket()) {
                socket.connect(address, (int) CONNECT_TIMEOUT.toMillis());
                try (FrameConnection opened = new FrameConnection(socket, vm.value())) {
                    runConnection(opened);
                }
            } catch (IOException | PeerException lost) {
                failPending(lost);
            } catch (InterruptedException stopped) {
                return;
            } catch (RuntimeException | Error failure) {
                // The link must be opened again, as nothing else does.
                Failures.log(LOG, "peer_link_failed", failure, EventField.of("peer", vm));
            }
            disconnect();
        }
    }

    private void runConnection(FrameConnection opened) throws IOException, PeerException, InterruptedException {
        opened.setFrameStartTimeout(HELLO_TIMEOUT);
        opened.send(new Frame(FrameKind.HELLO, 0, "", HelloMessage.CODEC.encode(hello)), HELLO_TIMEOUT);
        Frame helloFrame = opened.read();
        HelloMessage peerHello = HelloMessage.CODEC.decode(helloFrame.payload());
        if (!peerHello.vm().equals(vm.value()) || !peerHello.site().equals(hello.site())) {
            throw new PeerException("expected " + vm + " of site " + hello.site() + " but " + peerHello.vm()
                    + " of site " + peerHello.site() + " answered");
        }
        opened.setFrameStartTimeout(Duration.ZERO);
        lastAnswerNanos = clock.nanoTime();
        connection = opened;
        peer = Optional.of(peerHello.toPeer());
        while (!closed) {
            completeRequest(opened.read());
        }
    }

    private void completeRequest(Frame frame) {
        lastAnswerNanos = clock.nanoTime();
        CompletableFuture<byte[]> answer = pending.remove(frame.requestId());
        if (answer == null) {
            return;
        }
        if (frame.kind() == FrameKind.ANSWER) {
            answer.complete(frame.payload());
        } else {
            answer.completeExceptionally(
                    new PeerException(new String(frame.payload(), java.nio.charset.StandardCharsets.UTF_8)));
        }
    }

    private void disconnect() {
        peer = Optional.empty();
        connection = null;
        failPending(new PeerException("connection to " + vm + " was lost"));
        if (closed) {
            return;
        }
        try {
            Thread.sleep(ThreadLocalRandom.current().nextInt(MINIMUM_RECONNECT_MILLIS, MAXIMUM_RECONNECT_MILLIS));
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
            closed = true;
        }
    }

    private void failPending(Exception cause) {
        pending.values().forEach(answer -> answer.completeExceptionally(cause));
    }

    @Override
    public void close() {
        closed = true;
        FrameConnection current = connection;
        if (current != null) {
            current.close();
        }
        task.interrupt();
    }
}
