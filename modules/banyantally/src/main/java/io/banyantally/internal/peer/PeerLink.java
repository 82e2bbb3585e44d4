package io.banyantally.internal.peer;

import io.banyantally.internal.time.MonotonicClock;
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

/** The outgoing connection to one peer: one task connects, reads answers, and connects again after a failure. */
final class PeerLink implements AutoCloseable {

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration HELLO_TIMEOUT = Duration.ofSeconds(2);

    /** A connection without any answer for this long is closed, so that requests fail fast and a new one is tried. */
    private static final Duration SILENCE_LIMIT = Duration.ofSeconds(2);

    private static final int MINIMUM_RECONNECT_MILLIS = 100;
    private static final int MAXIMUM_RECONNECT_MILLIS = 400;

    private final VmId vm;
    private final InetSocketAddress address;
    private final HelloMessage hello;
    private final MonotonicClock clock;
    private final AtomicLong lastExchange = new AtomicLong();
    private final Map<Long, CompletableFuture<byte[]>> pending = new ConcurrentHashMap<>();
    private final Thread task;
    private volatile boolean closed;
    private volatile Optional<Peer> peer = Optional.empty();
    private volatile FrameConnection connection;
    private volatile long lastAnswer;

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

    /** Returns the peer while the connection stands. */
    Optional<Peer> peer() {
        return peer;
    }

    byte[] request(Topic topic, byte[] payload, Duration timeout) throws PeerException {
        FrameConnection present = connection;
        if (present == null || peer.isEmpty()) {
            throw new PeerException("no connection to " + vm + " for " + topic);
        }
        long exchange = lastExchange.incrementAndGet();
        CompletableFuture<byte[]> answer = new CompletableFuture<>();
        pending.put(exchange, answer);
        try {
            if (!present.send(new Frame(FrameKind.REQUEST, exchange, topic.name(), payload), timeout)) {
                throw new PeerException(vm + " does not read; request of " + topic + " was not sent");
            }
            return answer.get(timeout.toNanos(), TimeUnit.NANOSECONDS);
        } catch (TimeoutException late) {
            closeIfSilent(present);
            throw new PeerException(vm + " did not answer " + topic + " within " + timeout.toMillis() + " ms", late);
        } catch (ExecutionException failed) {
            throw new PeerException(
                    vm + " failed " + topic + ": " + failed.getCause().getMessage(), failed);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new PeerException("request of " + topic + " to " + vm + " was interrupted", interrupted);
        } finally {
            pending.remove(exchange);
        }
    }

    private void closeIfSilent(FrameConnection present) {
        if (clock.since(lastAnswer).compareTo(SILENCE_LIMIT) > 0) {
            present.close();
        }
    }

    private void run() {
        while (!closed) {
            try (Socket socket = new Socket()) {
                socket.connect(address, (int) CONNECT_TIMEOUT.toMillis());
                try (FrameConnection opened = new FrameConnection(socket, vm.value())) {
                    serve(opened);
                }
            } catch (IOException | PeerException lost) {
                failPending(lost);
            } catch (InterruptedException stopped) {
                return;
            }
            disconnect();
        }
    }

    private void serve(FrameConnection opened) throws IOException, PeerException, InterruptedException {
        opened.setReadTimeout(HELLO_TIMEOUT);
        opened.send(new Frame(FrameKind.HELLO, 0, "", HelloMessage.CODEC.encode(hello)), HELLO_TIMEOUT);
        Frame first = opened.read();
        HelloMessage answer = HelloMessage.CODEC.decode(first.payload());
        if (!answer.vm().equals(vm.value()) || !answer.site().equals(hello.site())) {
            throw new PeerException("expected " + vm + " of site " + hello.site() + " but " + answer.vm() + " of site "
                    + answer.site() + " answered");
        }
        opened.setReadTimeout(Duration.ZERO);
        lastAnswer = clock.nanoTime();
        connection = opened;
        peer = Optional.of(answer.peer());
        while (!closed) {
            complete(opened.read());
        }
    }

    private void complete(Frame frame) {
        lastAnswer = clock.nanoTime();
        CompletableFuture<byte[]> answer = pending.remove(frame.exchange());
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
        FrameConnection present = connection;
        if (present != null) {
            present.close();
        }
        task.interrupt();
    }
}
