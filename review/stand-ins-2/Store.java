import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store as PROTOCOL.md describes it: keys, revisions, watches, transactions and leases. */
final class Store implements AutoCloseable {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    /** {@code historyS} of the settings. */
    private static final long HISTORY_NANOS = 20_000_000_000L;

    private Server server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private final Map<Long, Lease> leases = new TreeMap<>();
    private long revision = 100;
    private long nextLease = 7000;
    private long discardedUpTo;
    private volatile Gate gate = request -> Fate.SERVE;

    Store() throws IOException {
        server = new Server(this::handle);
    }

    String address() {
        return server.addressText();
    }

    /** Serves at another address from now on; returns what closes the former address and its connections. */
    Server move() throws IOException {
        Server former = server;
        server = new Server(this::handle);
        return former;
    }

    /** Decides for each call what happens to it. */
    void setGate(Gate decision) {
        gate = decision;
    }

    /** Writes a key as the operator or a replica does; the return is the confirmation. */
    synchronized long write(String key, String value) {
        expire();
        return put(key, value.getBytes(StandardCharsets.UTF_8), 0);
    }

    /** Writes several keys in one transaction. */
    synchronized long writeTogether(Map<String, byte[]> values) {
        expire();
        values.forEach((key, value) -> put(key, value, 0));
        return revision;
    }

    /** Removes a key. */
    synchronized void remove(String key) {
        expire();
        delete(key);
    }

    /** Returns the text under a key; empty text if there is none. */
    synchronized String read(String key) {
        expire();
        Item item = items.get(key);
        return item == null ? "" : new String(item.value(), StandardCharsets.UTF_8);
    }

    private long put(String key, byte[] value, long lease) {
        revision++;
        Item former = items.get(key);
        Item item = new Item(key, value, revision, former == null ? revision : former.createdAt(), lease);
        items.put(key, item);
        events.add(new Event(key, revision, item, System.nanoTime()));
        notifyAll();
        return revision;
    }

    private void delete(String key) {
        if (items.remove(key) != null) {
            revision++;
            events.add(new Event(key, revision, null, System.nanoTime()));
            notifyAll();
        }
    }

    private void expire() {
        long now = System.nanoTime();
        while (!events.isEmpty() && now - events.getFirst().at() > HISTORY_NANOS) {
            discardedUpTo = events.removeFirst().revision();
        }
        List<Long> ended = leases.entrySet().stream()
                .filter(lease -> now - lease.getValue().endsAt() >= 0)
                .map(Map.Entry::getKey)
                .toList();
        ended.forEach(this::end);
    }

    private void end(long lease) {
        leases.remove(lease);
        items.values().stream()
                .filter(item -> item.lease() == lease)
                .map(Item::key)
                .toList()
                .forEach(this::delete);
    }

    private boolean handle(Message request, Socket socket) throws IOException, InterruptedException {
        Fate fate = gate.decide(request);
        if (fate == Fate.SILENT) {
            return socket.getInputStream().read() >= 0;
        }
        if (fate == Fate.BUSY) {
            Server.respond(socket, 503, Map.of(), new byte[0]);
            return true;
        }
        if (fate == Fate.RESET) {
            socket.setSoLinger(true, 0);
            return false;
        }
        Reply reply = answer(request);
        if (fate == Fate.LOSE_ANSWER) {
            return socket.getInputStream().read() >= 0;
        }
        Server.respond(
                socket, reply.status(), Map.of("Content-Type", "application/json"), MAPPER.writeValueAsBytes(reply.body()));
        return true;
    }

    private synchronized Reply answer(Message request) throws IOException, InterruptedException {
        expire();
        String path = request.path();
        if (path.equals("/-/kv-key")) {
            Item item = items.get(request.parameter("key"));
            return item == null ? new Reply(404, NODES.objectNode()) : new Reply(200, json(item).put("at", revision));
        }
        if (path.equals("/-/kv-range")) {
            return range(request.parameter("prefix"), request.parameter("after"));
        }
        if (path.equals("/-/kv-watch")) {
            return watch(request);
        }
        JsonNode body = request.body().length == 0 ? NODES.objectNode() : MAPPER.readTree(request.body());
        if (path.equals("/-/kv-txn")) {
            return transact(body);
        }
        if (path.equals("/-/kv-lease")) {
            long milliseconds = body.path("ttlMs").asLong();
            long lease = nextLease++;
            leases.put(lease, new Lease(milliseconds, System.nanoTime() + milliseconds * 1_000_000));
            return new Reply(200, NODES.objectNode().put("lease", lease).put("ttlMs", milliseconds));
        }
        long lease = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        if (!leases.containsKey(lease)) {
            return new Reply(404, NODES.objectNode());
        }
        if (path.startsWith("/-/kv-keep/")) {
            long milliseconds = leases.get(lease).milliseconds();
            leases.put(lease, new Lease(milliseconds, System.nanoTime() + milliseconds * 1_000_000));
            return new Reply(200, NODES.objectNode().put("ttlMs", milliseconds));
        }
        end(lease);
        return new Reply(200, NODES.objectNode());
    }

    private Reply range(String prefix, String after) {
        ObjectNode body = NODES.objectNode();
        ArrayNode page = body.putArray("items");
        items.tailMap(after.isEmpty() ? prefix : after, after.isEmpty()).values().stream()
                .filter(item -> item.key().startsWith(prefix))
                .limit(500)
                .forEach(item -> page.add(json(item)));
        return new Reply(200, body.put("hasMore", page.size() == 500).put("at", revision));
    }

    private Reply watch(Message request) throws InterruptedException {
        long after = Long.parseLong(request.parameter("after"));
        long until = System.nanoTime() + Long.parseLong(request.parameter("waitMs")) * 1_000_000;
        String prefix = request.parameter("prefix");
        while (true) {
            expire();
            if (after < discardedUpTo) {
                return new Reply(410, NODES.objectNode());
            }
            ArrayNode found = NODES.arrayNode();
            events.stream()
                    .filter(event -> event.revision() > after && event.key().startsWith(prefix))
                    .forEach(event -> found.add(
                            event.item() == null
                                    ? NODES.objectNode()
                                            .put("key", event.key())
                                            .put("revision", event.revision())
                                            .put("removed", true)
                                    : json(event.item())));
            long left = until - System.nanoTime();
            if (!found.isEmpty() || left <= 0) {
                ObjectNode body = NODES.objectNode();
                body.set("events", found);
                return new Reply(200, body.put("at", revision));
            }
            wait(Math.min(50, left / 1_000_000 + 1));
        }
    }

    private Reply transact(JsonNode body) {
        boolean holds = true;
        ArrayNode current = NODES.arrayNode();
        for (JsonNode row : body.path("expected")) {
            Item item = items.get(row.path("key").asText());
            holds &= (item == null ? 0 : item.revision()) == row.path("revision").asLong();
            current.add(
                    item == null
                            ? NODES.objectNode().put("key", row.path("key").asText()).put("revision", 0)
                            : json(item));
        }
        if (!holds) {
            ObjectNode conflict = NODES.objectNode();
            conflict.set("items", current);
            return new Reply(412, conflict);
        }
        for (JsonNode row : body.path("puts")) {
            long lease = row.path("lease").asLong();
            if (lease != 0 && !leases.containsKey(lease)) {
                return new Reply(404, NODES.objectNode());
            }
        }
        for (JsonNode row : body.path("puts")) {
            put(
                    row.path("key").asText(),
                    Base64.getDecoder().decode(row.path("value").asText()),
                    row.path("lease").asLong());
        }
        body.path("deletes").forEach(key -> delete(key.asText()));
        return new Reply(200, NODES.objectNode().put("revision", revision));
    }

    private static ObjectNode json(Item item) {
        return NODES.objectNode()
                .put("key", item.key())
                .put("value", Base64.getEncoder().encodeToString(item.value()))
                .put("revision", item.revision())
                .put("createdAt", item.createdAt())
                .put("lease", item.lease());
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    /** What happens to a call. */
    enum Fate {
        SERVE,
        SILENT,
        BUSY,
        RESET,
        LOSE_ANSWER
    }

    /** Decides what happens to a call. */
    @FunctionalInterface
    interface Gate {
        Fate decide(Message request);
    }

    private record Item(String key, byte[] value, long revision, long createdAt, long lease) {}

    private record Event(String key, long revision, Item item, long at) {}

    private record Lease(long milliseconds, long endsAt) {}

    private record Reply(int status, ObjectNode body) {}
}
