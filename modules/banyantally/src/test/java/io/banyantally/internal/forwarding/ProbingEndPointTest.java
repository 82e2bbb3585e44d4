package io.banyantally.internal.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Connections of callers that are probed at any moment. */
@Timeout(60)
final class ProbingEndPointTest {

    private static final int REQUESTS = 3000;
    private static final int ANSWER_TIMEOUT_MILLIS = 2000;
    private static final byte[] REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final String ANSWER_END = "\r\n\r\n";

    /** Guards against a request whose bytes a probe takes between two requests, and which is then never answered. */
    @Test
    void requestIsAnsweredIfAProbeTakesItsBytes() throws Exception {
        QueuedThreadPool threads = new QueuedThreadPool(8);
        threads.setVirtualThreadsExecutor(Executors.newVirtualThreadPerTaskExecutor());
        Server server = new Server(threads);
        ProbingConnector connector = new ProbingConnector(server, new HttpConnectionFactory());
        connector.setHost(InetAddress.getLoopbackAddress().getHostAddress());
        server.addConnector(connector);
        server.setHandler(new EmptyAnswer());
        server.start();
        AtomicBoolean ended = new AtomicBoolean();
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), connector.getLocalPort())) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(ANSWER_TIMEOUT_MILLIS);
            Thread prober = Thread.ofPlatform().start(() -> probe(connector, ended));
            int answered = 0;
            try {
                while (answered < REQUESTS) {
                    socket.getOutputStream().write(REQUEST);
                    readAnswer(socket.getInputStream());
                    answered++;
                }
            } finally {
                ended.set(true);
                prober.join();
                assertEquals(REQUESTS, answered, "requests that were answered");
            }
        } finally {
            server.stop();
        }
    }

    private static void probe(ProbingConnector connector, AtomicBoolean ended) {
        while (!ended.get()) {
            for (EndPoint connection : connector.getConnectedEndPoints()) {
                if (connection instanceof ProbingEndPoint probing) {
                    assertTrue(ended.get() || !probing.isClosedByCaller());
                }
            }
        }
    }

    private static void readAnswer(InputStream input) throws Exception {
        StringBuilder answer = new StringBuilder();
        while (answer.indexOf(ANSWER_END) < 0) {
            answer.append((char) input.read());
        }
    }

    /** Answers every request with an empty body. */
    private static final class EmptyAnswer extends Handler.Abstract {

        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            response.getHeaders().put("Content-Length", 0);
            callback.succeeded();
            return true;
        }
    }
}
