import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A replica: serves requests that name it, and keeps its entry in the store. */
final class Replica implements AutoCloseable {

    private final Server server;
    private final Store store;
    private final String id;
    private final String service;
    private final Record record;
    private final Work work;
    private final long born = System.currentTimeMillis();
    private final AtomicInteger running = new AtomicInteger();

    Replica(Store store, String id, String service, Record record, Work work) throws IOException {
        this.store = store;
        this.id = id;
        this.service = service;
        this.record = record;
        this.work = work;
        this.server = new Server(this::handle);
    }

    String id() {
        return id;
    }

    String address() {
        return server.addressText();
    }

    /** Writes the entry, with further fields that begin with a comma. */
    void register(String state, String furtherFields) {
        store.write(
                "servers/" + id,
                """
                {"service":"%s","address":"%s","zone":"zone-a","version":"v1","slots":16,"state":"%s",\
                "coldRemainingMs":0,"sequence":1,"born":%d%s}"""
                        .formatted(service, address(), state, born, furtherFields));
    }

    private boolean handle(Message request, Socket socket) throws IOException, InterruptedException {
        if (request.path().equals("/health")) {
            Server.respond(socket, 200, Map.of("X-Instance-Id", id), new byte[0]);
            return true;
        }
        if (!request.header("X-Expected-Instance").map(id::equals).orElse(true)) {
            Server.respond(socket, 421, Map.of(), new byte[0]);
            return true;
        }
        String attempt = request.header("X-Attempt-Id").orElse("none");
        record.line("replica " + id + " gets " + attempt + " " + request.firstLine() + " deadline="
                + request.header("X-Deadline-Milliseconds").orElse("none"));
        running.incrementAndGet();
        try {
            return work.run(request, socket);
        } finally {
            running.decrementAndGet();
        }
    }

    /** Returns the headers of an answer. */
    static Map<String, String> headers(Message request) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Attempt-Id", request.header("X-Attempt-Id").orElse("none"));
        headers.put("X-Server-Signature", "3e1b.07.5a2.600.0.c9f2a4d1");
        return headers;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    /** Runs one request and answers it; returns whether the connection goes on. */
    @FunctionalInterface
    interface Work {
        boolean run(Message request, Socket socket) throws IOException, InterruptedException;
    }
}
