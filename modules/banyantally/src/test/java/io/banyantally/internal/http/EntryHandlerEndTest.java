package io.banyantally.internal.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests how responses and connections of refused requests end. */
@Timeout(30)
final class EntryHandlerEndTest {

    private final InFlightRequests inFlight = new InFlightRequests();
    private final List<Integer> inFlightAtWrites = new CopyOnWriteArrayList<>();
    private final Server server = new Server();
    private final ServerConnector connector = new ServerConnector(server);

    @BeforeEach
    void start() throws Exception {
        Endpoint refusing = exchange -> {
            throw RequestFailedException.notRun(ErrorType.INVALID_KEY, "no such key");
        };
        EntryHandler handler = new EntryHandler(
                List.of(new EntryHandler.PathRule("refused", "/refused", Set.of(), true, refusing)),
                inFlight,
                new MetricRegistry(),
                1000);
        connector.setHost("127.0.0.1");
        server.addConnector(connector);
        server.setHandler(new WriteRecorder(handler));
        server.start();
    }

    @AfterEach
    void stop() throws Exception {
        server.stop();
    }

    /** Guards against a shutdown that closes a connection before the error response of a refused request is written. */
    @Test
    void refusedRequestIsCountedUntilItsAnswerIsWritten() throws Exception {
        try (Socket caller = connect()) {
            write(caller, "GET /refused HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");

            assertTrue(read(caller).startsWith("HTTP/1.1 401"));

            assertEquals(1, inFlightAtWrites.getFirst());
        }
    }

    /**
     * Guards against a connection that is closed without {@code Connection: close} after a refusal before the body was
     * read.
     */
    @Test
    void refusalBeforeBodyAnnouncesCloseOrKeepsConnection() throws Exception {
        try (Socket caller = connect()) {
            write(caller, "POST /refused HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\nhalf");
            Thread.sleep(200);
            write(caller, "rest");
            Thread.sleep(200);

            byte[] bytes = new byte[4096];
            int count = caller.getInputStream().read(bytes);
            String answer = new String(bytes, 0, count, StandardCharsets.UTF_8);

            assertTrue(answer.startsWith("HTTP/1.1 401"), answer);
            if (!answer.toLowerCase(Locale.ROOT).contains("connection: close")) {
                write(caller, "GET /refused HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
                assertTrue(
                        read(caller).startsWith("HTTP/1.1 401"), "no response to the next request on the connection");
            }
        }
    }

    private Socket connect() throws Exception {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), connector.getLocalPort());
        socket.setSoTimeout(5000);
        return socket;
    }

    private static void write(Socket socket, String text) throws Exception {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String read(Socket socket) throws Exception {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    /** Records the number of requests in flight at each write of a response. */
    private final class WriteRecorder extends Handler.Wrapper {

        WriteRecorder(Handler handler) {
            super(handler);
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            return super.handle(
                    request,
                    new Response.Wrapper(request, response) {
                        @Override
                        public void write(boolean last, ByteBuffer bytes, Callback written) {
                            inFlightAtWrites.add(inFlight.running());
                            super.write(last, bytes, written);
                        }
                    },
                    callback);
        }
    }
}
