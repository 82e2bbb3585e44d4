package io.banyantally.internal.forwarding;

import io.banyantally.deployment.CallerLimits;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.timeline.EventField;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** The HTTP server of a gateway: one address for callers, and one for each other handler. */
public final class GatewayServer {

    private static final EventLog LOG = EventLog.of(GatewayServer.class);
    private static final int PLATFORM_THREADS = 16;
    private static final int ACCEPT_QUEUE = 1024;

    /** Callers use connections up to their idle limit; the server closes later, so that no request meets a close. */
    private static final Duration IDLE_MARGIN = Duration.ofSeconds(5);

    /** Until a configuration says more. */
    private static final Duration FIRST_IDLE_TIMEOUT = Duration.ofSeconds(20);

    /** Until a configuration says more; some times what a caller at a slow link needs. */
    private static final Duration FIRST_HEADER_TIMEOUT = Duration.ofSeconds(5);

    /** How often to call {@link #closeSlowHeaderConnections}; a head may take longer than its limit by this. */
    public static final Duration HEADER_CHECK_INTERVAL = Duration.ofMillis(500);

    /**
     * The largest head that is read from a connection; the limit in force is checked for each request. The HTTP library copies
     * its limit into a connection when it is opened, so a limit that is raised later would not hold there.
     */
    private static final int LARGEST_HEAD_BYTES = 64 * 1024;

    private final Server server;
    private final OpenExchanges open = new OpenExchanges();
    private final ShutdownAdmission admission = new ShutdownAdmission();
    private final ForwardingHandler forwarding;
    private final HttpConfiguration callerConfiguration = configuration();
    private final ServerConnector callers;
    private final Map<Integer, Handler> handlers;
    private volatile Duration headerTimeout = FIRST_HEADER_TIMEOUT;

    /** Creates a server that is not started yet; {@code handlers} answer at their own addresses. */
    public GatewayServer(
            InetSocketAddress callersAddress, ForwardingServices services, Map<InetSocketAddress, Handler> handlers) {
        QueuedThreadPool threads = new QueuedThreadPool(PLATFORM_THREADS);
        threads.setName("http");
        threads.setVirtualThreadsExecutor(Executors.newVirtualThreadPerTaskExecutor());
        this.server = new Server(threads);
        this.forwarding = new ForwardingHandler(services, open, admission);
        callerConfiguration.setRequestHeaderSize(LARGEST_HEAD_BYTES);
        this.callers = new ProbingConnector(server, new HttpConnectionFactory(callerConfiguration));
        bind(callers, callersAddress);
        Map<Integer, Handler> byPort = new HashMap<>();
        handlers.forEach((address, handler) -> {
            bind(new ProbingConnector(server, new HttpConnectionFactory(configuration())), address);
            byPort.put(address.getPort(), handler);
        });
        this.handlers = Map.copyOf(byPort);
        List<Handler> all = new ArrayList<>(handlers.values());
        all.add(forwarding);
        server.setHandler(new ByPort(all));
        server.setErrorHandler(new PlainErrorHandler());
    }

    private static HttpConfiguration configuration() {
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        configuration.setSendDateHeader(false);
        configuration.setHttpCompliance(HttpCompliance.RFC7230);
        // Paths go on as the caller wrote them, so none is ambiguous here.
        configuration.setUriCompliance(UriCompliance.UNSAFE);
        return configuration;
    }

    private void bind(ServerConnector connector, InetSocketAddress address) {
        connector.setHost(address.getAddress().getHostAddress());
        connector.setPort(address.getPort());
        connector.setIdleTimeout(FIRST_IDLE_TIMEOUT.toMillis());
        connector.setAcceptQueueSize(ACCEPT_QUEUE);
        server.addConnector(connector);
    }

    /** Applies the limits of a configuration. */
    public void apply(CallerLimits limits) {
        callerConfiguration.setRequestHeaderSize(
                Math.max(LARGEST_HEAD_BYTES, limits.headerBytes() + AdmittedRequest.HEAD_MARGIN_BYTES));
        headerTimeout = limits.headerTimeout();
        long idleMillis = limits.idleTimeout().plus(IDLE_MARGIN).toMillis();
        callers.setIdleTimeout(idleMillis);
        // A caller goes by the limit in force on a connection from before it, too.
        callers.getConnectedEndPoints().forEach(connection -> connection.setIdleTimeout(idleMillis));
    }

    /** Starts to accept connections. */
    public void start() throws IOException {
        try {
            server.start();
        } catch (Exception failure) {
            throw new IOException("cannot listen at " + callers.getHost() + ":" + callers.getPort(), failure);
        }
    }

    /** Returns how often to call {@link #probeCallers}. */
    public static Duration probeInterval() {
        return OpenExchanges.PROBE_INTERVAL;
    }

    /** Cancels the requests whose callers have left. */
    public void probeCallers() {
        open.probe();
    }

    /** Closes the connections on which the head of a request has come for longer than the configuration allows. */
    public void closeSlowHeaderConnections() {
        for (Connector connector : server.getConnectors()) {
            for (EndPoint connection : connector.getConnectedEndPoints()) {
                if (connection instanceof ProbingEndPoint probing && probing.isHeadLate(headerTimeout)) {
                    LOG.warn(
                            "head_late",
                            EventField.of("caller", connection.getRemoteSocketAddress()),
                            EventField.of("limit_ms", headerTimeout.toMillis()));
                    connection.close();
                }
            }
        }
    }

    /** Returns how many requests are being answered. */
    public int openRequests() {
        return open.size();
    }

    /**
     * From now on refuses requests that may have no answer by the moment {@code lastAnswer}, in monotonic nanoseconds, as
     * not run.
     */
    public void limitRequestDeadlines(long lastAnswer) {
        admission.limitTo(lastAnswer);
    }

    /** From now on refuses all requests as not run. Those that are open go on. */
    public void refuseRequests() {
        admission.end();
    }

    /** From now on every answer closes its connection, so that callers move to other VMs. */
    public void closeConnections() {
        forwarding.closeConnections();
    }

    /** Waits until all requests are answered; returns false if some are open after {@code limit}. */
    public boolean awaitRequests(Duration limit) throws InterruptedException {
        return open.awaitEmpty(limit);
    }

    /** Closes all connections; requests that are open are cut. */
    public void stop() {
        open.forEach(cut -> LOG.warn(
                "request_cut",
                EventField.of("request", cut.attempt()),
                EventField.of("path", cut.path()),
                EventField.of("answer_begun", cut.isCommitted())));
        try {
            server.stop();
        } catch (Exception failure) {
            LOG.error("server_stop_failed", failure, EventField.of("open_requests", open.size()));
        }
    }

    /** Finds the handler of the address that a request came to. */
    private final class ByPort extends Handler.Sequence {

        ByPort(List<Handler> all) {
            super(all);
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            Handler handler = handlers.getOrDefault(Request.getLocalPort(request), forwarding);
            if (!(request.getConnectionMetaData().getConnection().getEndPoint()
                    instanceof ProbingEndPoint connection)) {
                return handler.handle(request, response, callback);
            }
            connection.beginAnswer();
            try {
                return handler.handle(request, response, callback);
            } finally {
                connection.endAnswer();
            }
        }
    }
}
