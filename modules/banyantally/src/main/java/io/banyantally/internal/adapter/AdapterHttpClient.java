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
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * The HTTP client that all adapters of a process share. Calls block and run on virtual threads. It never repeats a call:
 * redirects, authentication and cookies are off.
 */
public final class AdapterHttpClient implements AutoCloseable {

    /** Below the idle timeout of the receivers (2 s), so that a pooled connection is dropped here first. */
    private static final Duration POOLED_IDLE_TIMEOUT = Duration.ofMillis(1500);

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final int MAXIMUM_THREADS = 64;

    private static final HttpClientSettings DEFAULTS =
            new HttpClientSettings(CONNECT_TIMEOUT, POOLED_IDLE_TIMEOUT, MAXIMUM_THREADS);

    private static final int CONNECTIONS_PER_ADDRESS = 4096;

    /** One buffer of this size is held for each open answer, whatever its reader does. */
    private static final int RESPONSE_BUFFER_BYTES = 4096;

    /** Twice the largest head that a caller's configuration usually allows (16 KiB). The HTTP library sets no limit. */
    private static final int LARGEST_HEAD_BYTES = 32 * 1024;

    /** A caller's largest head (64 KiB) and the headers that are added to it. */
    private static final int LARGEST_SENT_HEAD_BYTES = 72 * 1024;

    private final HttpClient client;

    private AdapterHttpClient(HttpClient client) {
        this.client = client;
    }

    /** Starts a client; close it when the process drains. */
    public static AdapterHttpClient start() {
        return start(DEFAULTS);
    }

    /** Starts a client with settings of its own; close it when the process drains. */
    public static AdapterHttpClient start(HttpClientSettings settings) {
        QueuedThreadPool threads = new QueuedThreadPool(settings.threads());
        threads.setName("adapter");
        threads.setDaemon(true);
        ClientConnector connector = new ResetAwareConnector();
        connector.setSelectors(1);
        HttpClientTransportOverHTTP transport = new HttpClientTransportOverHTTP(connector);
        transport.setConnectionPoolFactory(destination -> new ClosablePool(destination, CONNECTIONS_PER_ADDRESS));
        HttpClient client = new HttpClient(transport);
        client.setExecutor(threads);
        client.setFollowRedirects(false);
        client.setHttpCookieStore(new HttpCookieStore.Empty());
        client.setUserAgentField(null);
        client.setDefaultRequestContentType(null);
        client.setConnectTimeout(settings.connectTimeout().toMillis());
        client.setIdleTimeout(settings.pooledIdleTimeout().toMillis());
        client.setMaxConnectionsPerDestination(CONNECTIONS_PER_ADDRESS);
        client.setMaxRequestsQueuedPerDestination(CONNECTIONS_PER_ADDRESS);
        client.setResponseBufferSize(RESPONSE_BUFFER_BYTES);
        client.setMaxResponseHeadersSize(LARGEST_HEAD_BYTES);
        client.setMaxRequestHeadersSize(LARGEST_SENT_HEAD_BYTES);
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
        handlers.put(new UnaskedContinueHandler());
        return new AdapterHttpClient(client);
    }

    /** Sends a call and waits for the whole answer of at most {@code maximumBytes}. */
    public HttpReply send(HttpCall call, int maximumBytes) throws ExchangeException, InterruptedException {
        long deadline = System.nanoTime() + call.timeLimit().toNanos();
        try (HttpExchange exchange = begin(call, deadline, Duration.ofNanos(deadline - System.nanoTime()))) {
            return exchange.readWhole(maximumBytes);
        }
    }

    /** Sends a call and returns as soon as the headers of the answer are there. */
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
     * Sends a call whose time limit holds for the whole answer, and returns at once. Another task may close the exchange
     * while one waits for its headers.
     */
    public HttpExchange prepare(HttpCall call) throws ExchangeException, InterruptedException {
        return begin(call, System.nanoTime() + call.timeLimit().toNanos(), call.timeLimit());
    }

    /** Sends a call whose answer does not matter, and does not wait. An answer that is not short closes its connection. */
    public void sendWithoutAnswer(HttpCall call) {
        request(call)
                .timeout(call.timeLimit().toMillis(), TimeUnit.MILLISECONDS)
                .onRequestBegin(started ->
                        ResetAwareEndPoint.of(started.getConnection()).ifPresent(ResetAwareEndPoint::beginAnswer))
                .send(AdapterHttpClient::closeAfterInterimAnswer);
    }

    /** The HTTP library takes a repeated interim answer for a final one and would use the connection again. */
    private static void closeAfterInterimAnswer(Result result) {
        Connection used = result.getRequest().getConnection();
        if (used != null && HttpStatus.isInformational(result.getResponse().getStatus())) {
            used.close();
        }
    }

    private HttpExchange begin(HttpCall call, long deadline, Duration wholeLimit)
            throws ExchangeException, InterruptedException {
        Request request = request(call);
        HttpExchange exchange = new HttpExchange(call, request);
        if (call.ownConnection()) {
            Connection connection = connect(call, request, deadline);
            exchange.owns(connection);
            if (!call.permission().isGranted()) {
                exchange.close();
                throw new NothingSentException(call + " was not sent: the sender's authority has ended");
            }
            limit(request, call, wholeLimit.isZero() ? wholeLimit : Duration.ofNanos(deadline - System.nanoTime()));
            connection.send(request, exchange.listener());
        } else {
            limit(request, call, wholeLimit);
            request.send(exchange.listener());
        }
        return exchange;
    }

    private static void limit(Request request, HttpCall call, Duration wholeLimit) {
        if (wholeLimit.isZero()) {
            request.idleTimeout(call.timeLimit().toMillis(), TimeUnit.MILLISECONDS);
        } else {
            long millis = Math.max(1, wholeLimit.toMillis());
            request.timeout(millis, TimeUnit.MILLISECONDS).idleTimeout(millis * 2, TimeUnit.MILLISECONDS);
        }
    }

    private Connection connect(HttpCall call, Request request, long deadline)
            throws NothingSentException, InterruptedException {
        CompletableFuture<Connection> connecting =
                client.resolveDestination(request).newConnection();
        try {
            return connecting.get(deadline - System.nanoTime(), TimeUnit.NANOSECONDS);
        } catch (ExecutionException failure) {
            throw new NothingSentException(call + ": no connection", failure.getCause());
        } catch (TimeoutException failure) {
            closeWhenOpen(connecting);
            throw new NothingSentException(call + ": no connection in time", failure);
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
        if (!call.ownConnection()) {
            request.onResponseSuccess(this::noteIdleTime);
        }
        if (call.body().length > 0) {
            request.body(new BytesRequestContent(request.getHeaders().get(HttpHeader.CONTENT_TYPE), call.body()));
        }
        return request;
    }

    private void noteIdleTime(Response response) {
        Request request = response.getRequest();
        if (client.resolveDestination(request).getConnectionPool() instanceof ClosablePool pool) {
            pool.noteIdleTime(request.getConnection(), response.getHeaders());
        }
    }

    /**
     * Closes the pooled connections to a receiver that no call uses. A network that has silenced one connection has often
     * silenced them all, and each would cost a call its whole time limit.
     */
    public void closeIdleConnections(InetSocketAddress receiver) {
        String host = receiver.getAddress().getHostAddress();
        client.getDestinations().stream()
                .filter(destination -> destination.getOrigin().getAddress().getPort() == receiver.getPort()
                        && destination.getOrigin().getAddress().getHost().equals(host))
                .map(Destination::getConnectionPool)
                .filter(ClosablePool.class::isInstance)
                .forEach(pool -> ((ClosablePool) pool).closeIdle());
    }

    /** Aborts all calls and closes all connections. */
    @Override
    public void close() {
        try {
            client.stop();
        } catch (Exception failure) {
            throw new IllegalStateException("cannot stop the HTTP client of the adapters", failure);
        }
    }
}
