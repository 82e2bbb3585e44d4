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

/** How the entry daemon ends requests that it refuses. */
@Timeout(30)
final class EntryHandlerEndTest {

    private final InFlightRequests inFlight = new InFlightRequests();
    private final List<Integer> runningAtWrites = new CopyOnWriteArrayList<>();
    private final Server server = new Server();
    private final ServerConnector connector = new ServerConnector(server);

    @BeforeEach
    void start() throws Exception {
        Endpoint refusing = exchange -> {
            throw RequestRefusedException.notRun(ErrorType.INVALID_KEY, "no such key");
        };
        EntryHandler handler = new EntryHandler(
                List.of(new EntryHandler.PathRule("refused", "/refused", Set.of(), true, refusing)),
                inFlight,
                new MetricRegistry(),
                1000);
        connector.setHost("127.0.0.1");
        server.addConnector(connector);
        server.setHandler(new WriteWatch(handler));
        server.start();
    }

    @AfterEach
    void stop() throws Exception {
        server.stop();
    }

    /** Guards against a shutdown that closes a connection while the refusal of a request is still to be written. */
    @Test
    void refusedRequestIsCountedUntilItsAnswerIsWritten() throws Exception {
        try (Socket caller = connect()) {
            write(caller, "GET /refused HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");

            assertTrue(read(caller).startsWith("HTTP/1.1 401"));

            assertEquals(1, runningAtWrites.getFirst());
        }
    }

    /** Guards against an unannounced close that the next request of a caller meets, after a refusal before the body. */
    @Test
    void refusalBeforeTheBodyAnnouncesTheClose() throws Exception {
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
                assertTrue(read(caller).startsWith("HTTP/1.1 401"), "no answer to a next request");
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

    /** Notes how many requests are counted in when a byte of an answer is written. */
    private final class WriteWatch extends Handler.Wrapper {

        WriteWatch(Handler handler) {
            super(handler);
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            return super.handle(
                    request,
                    new Response.Wrapper(request, response) {
                        @Override
                        public void write(boolean last, ByteBuffer bytes, Callback written) {
                            runningAtWrites.add(inFlight.running());
                            super.write(last, bytes, written);
                        }
                    },
                    callback);
        }
    }
}
