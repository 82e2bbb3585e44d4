package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.UUID;

/** A client that sends each request on a connection of its own. */
final class Caller {

    static final String HOST = "service.example";
    static final String API_KEY = "key-of-the-first-tenant";

    private static final int CONNECT_MILLIS = 1000;

    private final Record record;

    Caller(Record record) {
        this.record = record;
    }

    /** Returns a new id of an attempt. */
    static String newAttempt() {
        return UUID.randomUUID().toString().replace("-", "").substring(0, 16);
    }

    /** Sends one request and waits for its answer, for {@code deadlineMillis} after the request was sent whole. */
    Outcome send(int port, String method, String path, String attempt, byte[] body, int deadlineMillis) {
        long startedAt = System.nanoTime();
        record.write("client: sends %s to port %d: %s %s, %d bytes", attempt, port, method, path, body.length);
        Outcome outcome = exchange(port, method, path, attempt, body, deadlineMillis);
        record.write(
                "client: %s ends with %s after %d ms",
                attempt, outcome.text(), (System.nanoTime() - startedAt) / 1_000_000);
        return outcome;
    }

    private static Outcome exchange(
            int port, String method, String path, String attempt, byte[] body, int deadlineMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_MILLIS);
            socket.setSoTimeout(deadlineMillis);
            OutputStream output = socket.getOutputStream();
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Attempt-Id: " + attempt
                    + "\r\nX-Deadline-Milliseconds: " + deadlineMillis + "\r\nX-Api-Key: " + API_KEY
                    + "\r\nContent-Length: " + body.length + "\r\n\r\n";
            output.write(head.getBytes(StandardCharsets.ISO_8859_1));
            output.write(body);
            output.flush();
            Optional<HttpMessage> answer = HttpMessage.read(new BufferedInputStream(socket.getInputStream()));
            return answer.map(message -> new Outcome(message.status(), "status " + message.status()))
                    .orElseGet(() -> new Outcome(0, "a closed connection"));
        } catch (java.net.SocketTimeoutException late) {
            return new Outcome(-1, "no answer within its time limit");
        } catch (IOException failure) {
            return new Outcome(0, "a broken connection (" + failure.getMessage() + ")");
        }
    }

    /**
     * How an attempt ended.
     *
     * @param status the status of the answer; 0 if the connection ended without one, -1 if the time limit passed
     */
    record Outcome(int status, String text) {}
}
