package review;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.LongAdder;

/** A plain replica: it runs requests in its slots and signs its answers. */
final class ReplicaStandIn implements AutoCloseable {

    private static final int LISTEN_QUEUE = 128;

    private final String id;
    private final String service;
    private final int slots;
    private final Record record;
    private final ServerSocket server;
    private final Semaphore freeSlots;
    private final List<Arrival> arrivals = new ArrayList<>();
    private final List<Socket> connections = new ArrayList<>();
    private final LongAdder runs = new LongAdder();
    private final boolean inDetail;
    private volatile long workMillis;

    ReplicaStandIn(String id, String service, int slots, long workMillis, Record record) throws IOException {
        this(id, service, slots, workMillis, record, true);
    }

    /** Creates a replica that only counts its runs if {@code inDetail} is false. */
    ReplicaStandIn(String id, String service, int slots, long workMillis, Record record, boolean inDetail)
            throws IOException {
        this.inDetail = inDetail;
        this.id = id;
        this.service = service;
        this.slots = slots;
        this.workMillis = workMillis;
        this.record = record;
        this.freeSlots = new Semaphore(slots, true);
        server = new ServerSocket(0, LISTEN_QUEUE, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(this::accept);
    }

    String id() {
        return id;
    }

    /** Returns the key of the entry in the store. */
    String key() {
        return "servers/" + id;
    }

    /** Returns the entry in the store. */
    String entry(String state) {
        return """
                {"service":"%s","address":"127.0.0.1:%d","zone":"zone-a","version":"v1","slots":%d,"state":"%s",
                 "coldRemainingMs":0,"sequence":0}""".formatted(service, server.getLocalPort(), slots, state);
    }

    void setWorkMillis(long millis) {
        workMillis = millis;
    }

    /** Returns the number of requests that this replica has run. */
    long runs() {
        return runs.sum();
    }

    /** Returns the requests that reached this replica, if it records them in detail. */
    List<Arrival> arrivals() {
        synchronized (arrivals) {
            return List.copyOf(arrivals);
        }
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                synchronized (connections) {
                    connections.add(socket);
                }
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
            OutputStream output = new BufferedOutputStream(socket.getOutputStream());
            for (Optional<HttpMessage> request = HttpMessage.read(input);
                    request.isPresent();
                    request = HttpMessage.read(input)) {
                output.write(answer(request.get()).getBytes(StandardCharsets.ISO_8859_1));
                output.flush();
            }
        } catch (IOException ended) {
            // The gateway closed the connection, or this replica has left.
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private String answer(HttpMessage request) throws InterruptedException {
        String attempt = request.header("X-Attempt-Id").orElse("");
        if (!request.header("X-Expected-Instance").orElse(id).equals(id)) {
            return "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: " + attempt
                    + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        }
        if (inDetail) {
            synchronized (arrivals) {
                arrivals.add(new Arrival(attempt, System.nanoTime()));
            }
            record.write("replica %s: request %s reaches it, %d bytes", id, attempt, request.body().length);
        }
        freeSlots.acquire();
        try {
            if (workMillis > 0) {
                Thread.sleep(workMillis);
            }
        } finally {
            freeSlots.release();
        }
        runs.increment();
        if (inDetail) {
            record.write("replica %s: request %s has run", id, attempt);
        }
        String body = "served " + attempt + " by " + id;
        return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Signature: signature-of-" + attempt
                + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Exits: the listener and all connections close at once. */
    @Override
    public void close() {
        try {
            server.close();
            synchronized (connections) {
                for (Socket connection : connections) {
                    connection.close();
                }
            }
        } catch (IOException failure) {
            record.write("replica %s: closing failed: %s", id, failure.getMessage());
        }
    }

    /**
     * A request that reached the replica.
     *
     * @param at the monotonic time in nanoseconds
     */
    record Arrival(String attempt, long at) {}
}
