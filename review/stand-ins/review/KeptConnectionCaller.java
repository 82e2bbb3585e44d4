package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.ThreadLocalRandom;

/** A client that sends one request after the other on a connection that it keeps, until the gateway closes it. */
final class KeptConnectionCaller implements Callable<Optional<KeptConnectionCaller.Unanswered>> {

    private static final int CONNECT_MILLIS = 1000;

    private final int port;
    private final List<String> paths;
    private final int deadlineMillis;
    private final Load load;

    KeptConnectionCaller(int port, List<String> paths, int deadlineMillis, Load load) {
        this.port = port;
        this.paths = List.copyOf(paths);
        this.deadlineMillis = deadlineMillis;
        this.load = load;
    }

    /** Sends requests until the gateway has gone or the load ends; returns the request that got no answer, if any. */
    @Override
    public Optional<Unanswered> call() {
        while (!load.isEnded()) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_MILLIS);
                Optional<Unanswered> unanswered = useConnection(socket);
                if (unanswered.isPresent()) {
                    return unanswered;
                }
            } catch (IOException notConnected) {
                return Optional.empty();
            }
        }
        return Optional.empty();
    }

    /** Returns once the connection has to be left, with the request that got no answer before it ended, if any. */
    private Optional<Unanswered> useConnection(Socket socket) throws IOException {
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(deadlineMillis);
        BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
        OutputStream output = socket.getOutputStream();
        while (!load.isEnded()) {
            String attempt = Caller.newAttempt();
            String path = paths.get(ThreadLocalRandom.current().nextInt(paths.size()));
            String head = "GET " + path + " HTTP/1.1\r\nHost: " + Caller.HOST + "\r\nX-Attempt-Id: " + attempt
                    + "\r\nX-Deadline-Milliseconds: " + deadlineMillis + "\r\nX-Api-Key: " + Caller.API_KEY
                    + "\r\n\r\n";
            try {
                output.write(head.getBytes(StandardCharsets.ISO_8859_1));
                output.flush();
            } catch (IOException closedBefore) {
                return Optional.empty();
            }
            load.countSent();
            long sentAt = System.nanoTime();
            try {
                Optional<HttpMessage> answer = HttpMessage.read(input);
                if (answer.isEmpty()) {
                    // Without a reset: the process had read all bytes that this client sent.
                    return Optional.of(new Unanswered(attempt, path, sentAt, System.nanoTime(), End.CLOSED));
                }
                load.countAnswer(answer.get().status());
                if (answer.get().header("Connection").orElse("").equalsIgnoreCase("close")) {
                    return Optional.empty();
                }
            } catch (SocketTimeoutException late) {
                return Optional.of(new Unanswered(attempt, path, sentAt, System.nanoTime(), End.TIME_LIMIT));
            } catch (IOException reset) {
                return Optional.of(new Unanswered(attempt, path, sentAt, System.nanoTime(), End.RESET));
            }
        }
        return Optional.empty();
    }

    /** How the wait for an answer ended. */
    enum End {
        /** The connection was closed in order, so that the process had read the whole request. */
        CLOSED,
        /** The connection was reset. */
        RESET,
        /** The client's time limit passed. */
        TIME_LIMIT
    }

    /** A request that got no answer, with monotonic times in nanoseconds. */
    record Unanswered(String attempt, String path, long sentAt, long endedAt, End end) {

        long waitedMillis() {
            return (endedAt - sentAt) / 1_000_000;
        }
    }
}
