package io.banyantally.internal.adapter;

import io.banyantally.internal.net.SocketAddresses;
import io.banyantally.upstream.HeaderField;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.ContinueProtocolHandler;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.ProtocolHandlers;
import org.eclipse.jetty.client.RedirectProtocolHandler;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.UpgradeProtocolHandler;
import org.eclipse.jetty.client.WWWAuthenticationProtocolHandler;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * The HTTP client that all adapters of a process share. Calls block and run on virtual threads. It never sends a
 * request a second time: redirects, authentication and cookies are off.
 */
public final class AdapterHttpClient implements AutoCloseable {

    /** Below the servers' idle timeout (2 s), so that the client closes an idle pooled connection first. */
    private static final Duration POOLED_IDLE_TIMEOUT = Duration.ofMillis(1500);

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final int MAXIMUM_THREADS = 64;

    private static final HttpClientSettings DEFAULTS =
            new HttpClientSettings(CONNECT_TIMEOUT, POOLED_IDLE_TIMEOUT, MAXIMUM_THREADS);

    private static final int MAXIMUM_CONNECTIONS_PER_ADDRESS = 4096;

    /** Each open response holds one buffer of this size, even if it is not being read. */
    private static final int RESPONSE_BUFFER_BYTES = 4096;

    /** Twice the usual configured limit for a caller's request headers (16 KiB). Jetty has no limit by default. */
    private static final int MAXIMUM_RESPONSE_HEADER_BYTES = 32 * 1024;

    /** The largest headers of a caller's request (64 KiB) and the headers added to them. */
    private static final int MAXIMUM_REQUEST_HEADER_BYTES = 72 * 1024;

    private final HttpClient client;

    private AdapterHttpClient(HttpClient client) {
        this.client = client;
    }

    /** Starts a client with the default settings; the caller closes it at shutdown. */
    public static AdapterHttpClient start() {
        return start(DEFAULTS);
    }

    /** Starts a client with the given settings; the caller closes it at shutdown. */
    public static AdapterHttpClient start(HttpClientSettings settings) {
        QueuedThreadPool threads = new QueuedThreadPool(settings.threads());
        threads.setName("adapter");
        threads.setDaemon(true);
        ClientConnector connector = new ResetAwareConnector();
        connector.setSelectors(1);
        HttpClientTransportOverHTTP transport = new HttpClientTransportOverHTTP(connector);
        transport.setConnectionPoolFactory(
                destination -> new KeepAliveConnectionPool(destination, MAXIMUM_CONNECTIONS_PER_ADDRESS));
        HttpClient client = new HttpClient(transport);
        client.setExecutor(threads);
        client.setFollowRedirects(false);
        client.setHttpCookieStore(new HttpCookieStore.Empty());
        client.setUserAgentField(null);
        client.setDefaultRequestContentType(null);
        client.setConnectTimeout(settings.connectTimeout().toMillis());
        client.setIdleTimeout(settings.pooledIdleTimeout().toMillis());
        client.setMaxConnectionsPerDestination(MAXIMUM_CONNECTIONS_PER_ADDRESS);
        client.setMaxRequestsQueuedPerDestination(MAXIMUM_CONNECTIONS_PER_ADDRESS);
        client.setResponseBufferSize(RESPONSE_BUFFER_BYTES);
        client.setMaxResponseHeadersSize(MAXIMUM_RESPONSE_HEADER_BYTES);
        client.setMaxRequestHeadersSize(MAXIMUM_REQUEST_HEADER_BYTES);
        try {
            client.start();
        } catch (Exception failure) {
            throw new IllegalStateException("cannot start the HTTP client of the adapters", failure);
        }
        client.getContentDecoderFactories().clear();
        ProtocolHandlers handlers = client.getProtocolHandlers();
        handlers.remove(RedirectProtocolHandler.NAME);
        handlers.remove(WWWAuthenticationProtocolHandler.NAME);
        handlers.remove(new UpgradeProtocolHandler().getName());
        handlers.remove(ContinueProtocolHandler.NAME);
        handlers.put(new UnsolicitedContinueHandler());
        return new AdapterHttpClient(client);
    }

    /** Sends a request and waits for the complete response, whose body has at most {@code maximumBytes}. */
    public HttpReply send(HttpCall call, int maximumBytes) throws ExchangeException, InterruptedException {
        long deadline = System.nanoTime() + call.timeLimit().toNanos();
        try (HttpExchange exchange = begin(call, deadline, Duration.ofNanos(deadline - System.nanoTime()))) {
            return exchange.readWhole(maximumBytes);
        }
    }

    /** Sends a request and returns once the response headers have arrived. */
    public HttpExchange open(HttpCall call) throws ExchangeException, InterruptedException {
        HttpExchange exchange = begin(call, System.nanoTime() + call.timeLimit().toNanos(), Duration.ZERO);
        try {
            exchange.awaitHeaders();
            return exchange;
        } catch (ExchangeException | InterruptedException failure) {
            exchange.close();
            throw failure;
        }
    }

    /**
     * Sends a request whose time limit covers the whole response, and returns immediately. Another thread may close the
     * exchange while one waits for the response headers.
     */
    public HttpExchange prepare(HttpCall call) throws ExchangeException, InterruptedException {
        return begin(call, System.nanoTime() + call.timeLimit().toNanos(), call.timeLimit());
    }

    /** Sends a request without waiting and discards the response. A long response closes the connection. */
    public void sendWithoutAnswer(HttpCall call) {
        request(call)
                .timeout(TimeoutMillis.of(call.timeLimit()), TimeUnit.MILLISECONDS)
                .onRequestBegin(started ->
                        ResetAwareEndPoint.of(started.getConnection()).ifPresent(ResetAwareEndPoint::beginRequest))
                .send(AdapterHttpClient::closeAfterInterimResponse);
    }

    /** Jetty takes a second interim (1xx) response for the final one and would return the connection to the pool. */
    private static void closeAfterInterimResponse(Result result) {
        Connection used = result.getRequest().getConnection();
        if (used != null && !FinalStatus.isValid(result.getResponse().getStatus())) {
            used.close();
        }
    }

    /** Opens a connection for requests that one thread sends in a row; the caller closes it. */
    public OwnConnection connect(InetSocketAddress server, Duration timeLimit)
            throws NothingSentException, InterruptedException {
        HttpCall any = HttpCall.read(server, "/", timeLimit);
        return new OwnConnection(this, connect(any, request(any), System.nanoTime() + timeLimit.toNanos()));
    }

    /** Sends a request on a connection that the caller owns. */
    HttpReply send(HttpCall call, Connection connection, int maximumBytes)
            throws ExchangeException, InterruptedException {
        Request request = request(call);
        try (HttpExchange exchange = new HttpExchange(call, request)) {
            long deadline = System.nanoTime() + call.timeLimit().toNanos();
            begin(call, request, exchange, connection, deadline, call.timeLimit());
            return exchange.readWhole(maximumBytes);
        }
    }

    /**
     * Closes the connection of a response that cannot be final, before it can return to the pool. Protocol handlers
     * receive the interim responses that another one may follow.
     */
    private static void abortUnlessFinal(HttpCall call, Response received) {
        if (!FinalStatus.isValid(received.getStatus())) {
            CompletableFuture<Boolean> _ = received.abort(FinalStatus.failure(call, received.getStatus()));
        }
    }

    private HttpExchange begin(HttpCall call, long deadline, Duration totalTimeout)
            throws ExchangeException, InterruptedException {
        Request request = request(call);
        HttpExchange exchange = new HttpExchange(call, request);
        if (call.ownConnection()) {
            Connection connection = connect(call, request, deadline);
            exchange.setOwnConnection(connection);
            begin(call, request, exchange, connection, deadline, totalTimeout);
        } else {
            setTimeouts(request, call, totalTimeout);
            request.send(exchange.listener());
        }
        return exchange;
    }

    private static void begin(
            HttpCall call,
            Request request,
            HttpExchange exchange,
            Connection connection,
            long deadline,
            Duration totalTimeout)
            throws NothingSentException {
        if (call.needsPermission()) {
            resetUnlessAnswered(request, connection);
        }
        if (!call.permission().isGranted()) {
            closeUnused(connection, exchange);
            throw new NothingSentException(call + " was not sent: the send permission was denied");
        }
        if (deadline - System.nanoTime() <= 0) {
            closeUnused(connection, exchange);
            throw new NothingSentException(call + " was not sent within its time limit");
        }
        setTimeouts(
                request, call, totalTimeout.isZero() ? totalTimeout : Duration.ofNanos(deadline - System.nanoTime()));
        connection.send(request, exchange.listener());
    }

    private static void setTimeouts(Request request, HttpCall call, Duration totalTimeout) {
        if (totalTimeout.isZero()) {
            request.idleTimeout(TimeoutMillis.of(call.timeLimit()), TimeUnit.MILLISECONDS);
        } else {
            long millis = TimeoutMillis.of(totalTimeout);
            request.timeout(millis, TimeUnit.MILLISECONDS).idleTimeout(millis * 2, TimeUnit.MILLISECONDS);
        }
    }

    /** After an orderly close the kernel would go on to deliver a call that was given up. */
    private static void resetUnlessAnswered(Request request, Connection connection) {
        ResetAwareEndPoint.of(connection).ifPresent(endPoint -> {
            endPoint.setResetOnClose(true);
            request.onResponseSuccess(_ -> endPoint.setResetOnClose(false));
        });
    }

    private static void closeUnused(Connection connection, HttpExchange exchange) {
        ResetAwareEndPoint.of(connection).ifPresent(endPoint -> endPoint.setResetOnClose(false));
        exchange.close();
    }

    private Connection connect(HttpCall call, Request request, long deadline)
            throws NothingSentException, InterruptedException {
        CompletableFuture<Connection> connecting =
                client.resolveDestination(request).newConnection();
        try {
            return connecting.get(deadline - System.nanoTime(), TimeUnit.NANOSECONDS);
        } catch (ExecutionException failure) {
            throw new NothingSentException(call + ": cannot connect", failure.getCause());
        } catch (TimeoutException failure) {
            closeWhenOpen(connecting);
            throw new NothingSentException(call + ": connecting timed out", failure);
        } catch (InterruptedException interrupted) {
            closeWhenOpen(connecting);
            throw interrupted;
        }
    }

    private static void closeWhenOpen(CompletableFuture<Connection> connecting) {
        CompletableFuture<Connection> _ = connecting.whenComplete((connection, failure) -> {
            if (connection != null) {
                connection.close();
            }
        });
    }

    private Request request(HttpCall call) {
        URI uri = URI.create("http://" + SocketAddresses.text(call.address()) + call.target());
        Request request = client.newRequest(uri).method(call.method()).headers(fields -> {
            for (HeaderField field : call.headers()) {
                fields.add(field.name(), field.value());
            }
            if (call.ownConnection()) {
                fields.put(HttpHeader.CONNECTION, "close");
            }
        });
        request.onResponseHeaders(received -> abortUnlessFinal(call, received));
        if (!call.ownConnection()) {
            request.onResponseSuccess(this::recordKeepAlive);
        }
        if (call.body().length > 0) {
            request.body(new BytesRequestContent(request.getHeaders().get(HttpHeader.CONTENT_TYPE), call.body()));
        }
        return request;
    }

    private void recordKeepAlive(Response response) {
        Request request = response.getRequest();
        if (client.resolveDestination(request).getConnectionPool() instanceof KeepAliveConnectionPool pool) {
            pool.recordKeepAlive(request.getConnection(), response.getHeaders());
        }
    }

    /**
     * Closes the idle pooled connections to a server. If the network drops the packets of one connection, it often
     * drops those of the others too, and a request on each of them would run into its time limit.
     */
    public void closeIdleConnections(InetSocketAddress server) {
        String host = server.getAddress().getHostAddress();
        client.getDestinations().stream()
                .filter(destination -> destination.getOrigin().getAddress().getPort() == server.getPort()
                        && destination.getOrigin().getAddress().getHost().equals(host))
                .map(Destination::getConnectionPool)
                .filter(KeepAliveConnectionPool.class::isInstance)
                .forEach(pool -> ((KeepAliveConnectionPool) pool).closeIdle());
    }

    /** Aborts all requests and closes all connections. */
    @Override
    public void close() {
        try {
            client.stop();
        } catch (Exception failure) {
            throw new IllegalStateException("cannot stop the HTTP client of the adapters", failure);
        }
    }
}
