package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's store and its API for duties, as PROTOCOL.md describes them, at one address. */
final class PlatformStandIn implements AutoCloseable {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;
    private static final int LISTEN_QUEUE = 256;

    private final Record record;
    private final HttpServer server;
    private final TreeMap<String, ObjectNode> items = new TreeMap<>();
    private final List<ObjectNode> events = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 1;
    private long lastLease = 1000;
    private long watchGeneration;
    private boolean closed;

    PlatformStandIn(Record record) throws IOException {
        this.record = record;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), LISTEN_QUEUE);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/", this::handle);
        server.start();
        Thread.ofVirtual().start(this::expireLeases);
    }

    /** Returns the address of the store and of the API for duties. */
    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes a value as the operator or a replica does; returns the monotonic time at which the store accepted it. */
    synchronized long write(String key, String value) {
        put(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
        return System.nanoTime();
    }

    /** Removes an entry; returns the monotonic time at which the store accepted that. */
    synchronized long remove(String key) {
        delete(key);
        return System.nanoTime();
    }

    /** Removes an entry and cuts the watches that wait, so that their callers learn of it by their next call. */
    synchronized long removeAndCutWatches(String key) {
        watchGeneration++;
        delete(key);
        return System.nanoTime();
    }

    /** Returns the keys of all items under a prefix. */
    synchronized List<String> keys(String prefix) {
        return items.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    private void put(String key, String base64, long lease) {
        revision++;
        ObjectNode former = items.get(key);
        ObjectNode item = NODES.objectNode()
                .put("key", key)
                .put("value", base64)
                .put("revision", revision)
                .put(
                        "createdAt",
                        former == null ? revision : former.path("createdAt").asLong())
                .put("lease", lease);
        items.put(key, item);
        events.add(item);
        notifyAll();
    }

    private void delete(String key) {
        if (items.remove(key) != null) {
            revision++;
            events.add(
                    NODES.objectNode().put("key", key).put("revision", revision).put("removed", true));
            notifyAll();
        }
    }

    private void expireLeases() {
        try {
            while (true) {
                Thread.sleep(20);
                synchronized (this) {
                    if (closed) {
                        return;
                    }
                    List<Long> ended = leases.entrySet().stream()
                            .filter(lease -> lease.getValue().endsAt() - System.nanoTime() <= 0)
                            .map(Map.Entry::getKey)
                            .toList();
                    ended.forEach(this::endLease);
                }
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private void endLease(long lease) {
        leases.remove(lease);
        items.values().stream()
                .filter(item -> item.path("lease").asLong() == lease)
                .map(item -> item.path("key").asText())
                .toList()
                .forEach(this::delete);
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            String path = exchange.getRequestURI().getPath();
            ObjectNode answer = NODES.objectNode();
            int status;
            if (path.equals("/-/kv-range")) {
                status = range(query(exchange), answer);
            } else if (path.equals("/-/kv-watch")) {
                status = watch(query(exchange), answer);
            } else if (path.equals("/-/kv-txn")) {
                status = transact(MAPPER.readTree(body), answer);
            } else if (path.equals("/-/kv-lease")) {
                status = grant(MAPPER.readTree(body), answer);
            } else if (path.startsWith("/-/kv-keep/")) {
                status = keep(Long.parseLong(path.substring("/-/kv-keep/".length())), answer);
            } else if (path.equals("/usage") || path.equals("/scale")) {
                record.write("platform: %s %s", path, new String(body, StandardCharsets.UTF_8));
                status = 200;
            } else {
                status = 404;
            }
            if (status == 0) {
                // A watch that is waiting may be cut: the connection closes without an answer.
                return;
            }
            byte[] bytes = answer.toString().getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().add("Content-Type", "application/json");
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> values = new HashMap<>();
        for (String pair : exchange.getRequestURI().getRawQuery().split("&", -1)) {
            int equals = pair.indexOf('=');
            values.put(
                    pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return values;
    }

    private synchronized int range(Map<String, String> query, ObjectNode answer) {
        ArrayNode page = answer.putArray("items");
        items.tailMap(query.getOrDefault("after", ""), false).values().stream()
                .filter(item -> item.path("key").asText().startsWith(query.get("prefix")))
                .forEach(page::add);
        answer.put("hasMore", false).put("at", revision);
        return 200;
    }

    private synchronized int watch(Map<String, String> query, ObjectNode answer) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long deadline = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
        long generation = watchGeneration;
        ArrayNode matching = answer.putArray("events");
        while (true) {
            if (generation != watchGeneration) {
                return 0;
            }
            events.stream()
                    .filter(event -> event.path("revision").asLong() > after)
                    .filter(event -> event.path("key").asText().startsWith(query.get("prefix")))
                    .forEach(matching::add);
            long remainingMillis = (deadline - System.nanoTime()) / 1_000_000;
            if (!matching.isEmpty() || remainingMillis <= 0 || closed) {
                answer.put("at", revision);
                return 200;
            }
            wait(remainingMillis);
        }
    }

    private synchronized int transact(JsonNode body, ObjectNode answer) {
        ArrayNode current = NODES.arrayNode();
        boolean holds = true;
        for (JsonNode expected : body.path("expected")) {
            String key = expected.path("key").asText();
            ObjectNode item = items.get(key);
            holds &= expected.path("revision").asLong()
                    == (item == null ? 0 : item.path("revision").asLong());
            current.add(item == null ? NODES.objectNode().put("key", key).put("revision", 0) : item);
        }
        if (!holds) {
            answer.set("items", current);
            return 412;
        }
        for (JsonNode put : body.path("puts")) {
            long lease = put.path("lease").asLong();
            if (lease != 0 && !leases.containsKey(lease)) {
                return 404;
            }
        }
        body.path("puts")
                .forEach(put -> put(
                        put.path("key").asText(),
                        put.path("value").asText(),
                        put.path("lease").asLong()));
        body.path("deletes").forEach(key -> delete(key.asText()));
        answer.put("revision", revision);
        return 200;
    }

    private synchronized int grant(JsonNode body, ObjectNode answer) {
        long millis = body.path("ttlMs").asLong();
        lastLease++;
        leases.put(lastLease, new Lease(millis, System.nanoTime() + millis * 1_000_000));
        answer.put("lease", lastLease).put("ttlMs", millis);
        return 200;
    }

    private synchronized int keep(long id, ObjectNode answer) {
        Lease lease = leases.get(id);
        if (lease == null) {
            return 404;
        }
        leases.put(id, new Lease(lease.millis(), System.nanoTime() + lease.millis() * 1_000_000));
        answer.put("ttlMs", lease.millis());
        return 200;
    }

    @Override
    public void close() {
        synchronized (this) {
            closed = true;
            notifyAll();
        }
        server.stop(0);
    }

    private record Lease(long millis, long endsAt) {}
}
