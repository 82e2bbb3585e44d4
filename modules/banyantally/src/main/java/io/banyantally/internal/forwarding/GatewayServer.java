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

    /**
     * Callers reuse connections up to their idle limit; the server closes later, so that no request hits a closed
     * connection.
     */
    private static final Duration IDLE_MARGIN = Duration.ofSeconds(5);

    /** Applies until a configuration is read. */
    private static final Duration INITIAL_IDLE_TIMEOUT = Duration.ofSeconds(20);

    /** Applies until a configuration is read; several times what a caller on a slow link needs. */
    private static final Duration INITIAL_HEADER_TIMEOUT = Duration.ofSeconds(5);

    /** How often to call {@link #closeSlowHeaderConnections}; a request header may exceed its timeout by this. */
    public static final Duration HEADER_CHECK_INTERVAL = Duration.ofMillis(500);

    /**
     * The largest request header that is read from a connection; the configured limit is checked for each request.
     * Jetty copies its limit into a connection when it is opened, so raising it later would not affect open
     * connections.
     */
    private static final int MAXIMUM_HEADER_BYTES = 64 * 1024;

    private final Server server;
    private final OpenExchanges openExchanges = new OpenExchanges();
    private final ShutdownAdmission admission = new ShutdownAdmission();
    private final ForwardingHandler forwarding;
    private final HttpConfiguration callerConfiguration = configuration();
    private final ServerConnector callers;
    private final Map<Integer, Handler> handlers;
    private volatile Duration headerTimeout = INITIAL_HEADER_TIMEOUT;

    /** Creates a server that is not started yet; {@code handlers} answer at their own addresses. */
    public GatewayServer(
            InetSocketAddress callersAddress, ForwardingServices services, Map<InetSocketAddress, Handler> handlers) {
        QueuedThreadPool threads = new QueuedThreadPool(PLATFORM_THREADS);
        threads.setName("http");
        threads.setVirtualThreadsExecutor(Executors.newVirtualThreadPerTaskExecutor());
        this.server = new Server(threads);
        this.forwarding = new ForwardingHandler(services, openExchanges, admission);
        callerConfiguration.setRequestHeaderSize(MAXIMUM_HEADER_BYTES);
        this.callers = new ProbingConnector(server, new HttpConnectionFactory(callerConfiguration));
        bind(callers, callersAddress);
        Map<Integer, Handler> byPort = new HashMap<>();
        handlers.forEach((address, handler) -> {
            bind(new ProbingConnector(server, new HttpConnectionFactory(configuration())), address);
            byPort.put(address.getPort(), handler);
        });
        this.handlers = Map.copyOf(byPort);
        List<Handler> allHandlers = new ArrayList<>(handlers.values());
        allHandlers.add(forwarding);
        server.setHandler(new PortDispatcher(allHandlers));
        server.setErrorHandler(new EmptyBodyErrorHandler());
    }

    private static HttpConfiguration configuration() {
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        configuration.setSendDateHeader(false);
        configuration.setHttpCompliance(HttpCompliance.RFC7230);
        // Paths are forwarded unchanged and not resolved, so ambiguous ones are accepted.
        configuration.setUriCompliance(UriCompliance.UNSAFE);
        return configuration;
    }

    private void bind(ServerConnector connector, InetSocketAddress address) {
        connector.setHost(address.getAddress().getHostAddress());
        connector.setPort(address.getPort());
        connector.setIdleTimeout(INITIAL_IDLE_TIMEOUT.toMillis());
        connector.setAcceptQueueSize(ACCEPT_QUEUE);
        server.addConnector(connector);
    }

    /** Applies the limits of a configuration. */
    public void apply(CallerLimits limits) {
        callerConfiguration.setRequestHeaderSize(
                Math.max(MAXIMUM_HEADER_BYTES, limits.headerBytes() + AdmittedRequest.HEADER_MARGIN_BYTES));
        headerTimeout = limits.headerTimeout();
        long idleMillis = limits.idleTimeout().plus(IDLE_MARGIN).toMillis();
        callers.setIdleTimeout(idleMillis);
        // Callers apply a new limit to connections that are already open, too.
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

    /** Cancels the requests whose callers have disconnected. */
    public void probeCallers() {
        openExchanges.probeConnections();
    }

    /** Closes the connections on which a request header has been incomplete for longer than the configured timeout. */
    public void closeSlowHeaderConnections() {
        for (Connector connector : server.getConnectors()) {
            for (EndPoint connection : connector.getConnectedEndPoints()) {
                if (connection instanceof ProbingEndPoint probing && probing.isHeaderOverdue(headerTimeout)) {
                    LOG.warn(
                            "head_late",
                            EventField.of("caller", connection.getRemoteSocketAddress()),
                            EventField.of("limit_ms", headerTimeout.toMillis()));
                    connection.close();
                }
            }
        }
    }

    /** Returns the number of requests in progress. */
    public int openRequests() {
        return openExchanges.size();
    }

    /**
     * Refuses further requests whose deadline is after {@code latestDeadline}, in monotonic nanoseconds, as not run.
     */
    public void limitRequestDeadlines(long latestDeadline) {
        admission.limitDeadlinesTo(latestDeadline);
    }

    /** From now on refuses all requests as not run; requests in progress continue. */
    public void refuseRequests() {
        admission.refuseAll();
    }

    /** From now on closes connections after their next response, so that callers move to other VMs. */
    public void closeConnections() {
        forwarding.closeConnections();
    }

    /** Waits until no request is in progress; returns false if some still are after {@code limit}. */
    public boolean awaitRequests(Duration limit) throws InterruptedException {
        return openExchanges.awaitEmpty(limit);
    }

    /** Closes all connections and aborts the requests in progress. */
    public void stop() {
        openExchanges.forEach(aborted -> LOG.warn(
                "request_cut",
                EventField.of("request", aborted.attemptId()),
                EventField.of("path", aborted.path()),
                EventField.of("answer_begun", aborted.isCommitted())));
        try {
            server.stop();
        } catch (Exception failure) {
            LOG.error("server_stop_failed", failure, EventField.of("open_requests", openExchanges.size()));
        }
    }

    /** Dispatches a request to the handler of the port on which it arrived. */
    private final class PortDispatcher extends Handler.Sequence {

        PortDispatcher(List<Handler> allHandlers) {
            super(allHandlers);
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            Handler handler = handlers.getOrDefault(Request.getLocalPort(request), forwarding);
            if (!(request.getConnectionMetaData().getConnection().getEndPoint()
                    instanceof ProbingEndPoint connection)) {
                return handler.handle(request, response, callback);
            }
            connection.beginRequestHandling();
            try {
                return handler.handle(request, response, callback);
            } finally {
                connection.endRequestHandling();
            }
        }
    }
}
