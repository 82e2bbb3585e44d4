package io.banyantally.standins;

import io.banyantally.internal.net.SocketAddresses;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.Executors;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** The HTTP server of a stand-in, on the loopback address only. */
public final class StandInServer implements AutoCloseable {

    private static final int MAXIMUM_THREADS = 32;
    private static final int ACCEPT_QUEUE = 1024;

    private final Server server;
    private final ServerConnector connector;

    private StandInServer(Server server, ServerConnector connector) {
        this.server = server;
        this.connector = connector;
    }

    /**
     * Starts a server.
     *
     * @param port 0 for any free port
     * @param idleTimeout after which an idle connection is closed, also one that waits for a request body
     */
    public static StandInServer start(int port, Duration idleTimeout, StandInHandler handler) throws IOException {
        QueuedThreadPool threads = new QueuedThreadPool(MAXIMUM_THREADS);
        threads.setName("stand-in");
        threads.setDaemon(true);
        threads.setVirtualThreadsExecutor(Executors.newVirtualThreadPerTaskExecutor());
        Server server = new Server(threads);
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        configuration.setSendDateHeader(false);
        ServerConnector connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(configuration));
        connector.setHost(InetAddress.getLoopbackAddress().getHostAddress());
        connector.setPort(port);
        connector.setIdleTimeout(idleTimeout.toMillis());
        connector.setAcceptQueueSize(ACCEPT_QUEUE);
        server.addConnector(connector);
        server.setHandler(new BlockingHandler(handler));
        try {
            server.start();
        } catch (IOException failure) {
            throw failure;
        } catch (Exception failure) {
            throw new IOException("cannot listen on port " + port, failure);
        }
        return new StandInServer(server, connector);
    }

    /** Returns the address on which the server listens. */
    public InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), connector.getLocalPort());
    }

    /** Prints the line from which the parent process learns the address of the ready server. */
    public void announce() {
        System.out.println("event=listening address=" + SocketAddresses.text(address()));
        System.out.flush();
    }

    /** Waits until the process is asked to stop, for instance by SIGTERM. */
    public void awaitStop() throws InterruptedException {
        Runtime.getRuntime().addShutdownHook(new Thread(this::close, "stop"));
        server.join();
    }

    /** Closes all connections and stops. */
    @Override
    public void close() {
        try {
            server.stop();
        } catch (Exception failure) {
            throw new IllegalStateException("cannot stop the server at " + address(), failure);
        }
    }

    /** Adapts the blocking handler of a stand-in to the HTTP server. */
    private static final class BlockingHandler extends Handler.Abstract {

        private final StandInHandler handler;

        BlockingHandler(StandInHandler handler) {
            this.handler = handler;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            StandInExchange exchange = new StandInExchange(request, response);
            try {
                handler.handle(exchange);
                callback.succeeded();
            } catch (BadRequestException failure) {
                answerBadRequest(exchange, failure, callback);
            } catch (IOException failure) {
                callback.failed(failure);
            } catch (InterruptedException failure) {
                Thread.currentThread().interrupt();
                callback.failed(failure);
            }
            return true;
        }

        private static void answerBadRequest(StandInExchange exchange, BadRequestException failure, Callback callback) {
            try {
                exchange.answerBytes(
                        HttpStatus.BAD_REQUEST_400,
                        "text/plain",
                        failure.getMessage().getBytes(StandardCharsets.UTF_8));
                callback.succeeded();
            } catch (IOException writeFailure) {
                callback.failed(writeFailure);
            }
        }
    }
}
