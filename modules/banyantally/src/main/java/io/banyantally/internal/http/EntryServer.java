package io.banyantally.internal.http;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.internal.admission.Admission;
import io.banyantally.internal.configuration.ConfigurationView;
import io.banyantally.internal.configuration.KeyVerifier;
import io.banyantally.internal.http.EntryHandler.PathRule;
import io.banyantally.internal.idempotency.CallLedger;
import io.banyantally.internal.membership.Membership;
import io.banyantally.internal.settings.EntrySettings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** The HTTP server of an entry daemon, for callers and operators. */
public final class EntryServer {

    /** A connection without any traffic for this long is closed, which cancels the caller's generation. */
    private static final int IDLE_TIMEOUT_MILLIS = 30_000;

    private static final int PLATFORM_THREADS = 16;
    private static final int OK = 200;
    private static final int NOT_READY = 503;

    private final EntrySettings settings;
    private final Services services;
    private final InFlightRequests inFlight = new InFlightRequests();
    private final Server server;
    private final ServerConnector connector;

    /** Creates a server; {@link #start} opens its port. */
    public EntryServer(EntrySettings settings, Services services) {
        this.settings = settings;
        this.services = services;
        QueuedThreadPool threads = new QueuedThreadPool(PLATFORM_THREADS);
        threads.setName("http");
        threads.setVirtualThreadsExecutor(Executors.newVirtualThreadPerTaskExecutor());
        this.server = new Server(threads);
        this.connector = connector();
        server.addConnector(connector);
        server.setErrorHandler(new JsonErrorHandler());
        server.setHandler(handler());
    }

    private ServerConnector connector() {
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        configuration.setRequestHeaderSize(settings.maximumHeaderBytes());
        ServerConnector created = new ServerConnector(server, 1, 1, new HttpConnectionFactory(configuration));
        created.setHost(settings.callers().getAddress().getHostAddress());
        created.setPort(settings.callers().getPort());
        created.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        return created;
    }

    private Handler handler() {
        EntryHandler callers = new EntryHandler(rules(), inFlight, services.metrics(), settings.maximumBodyBytes());
        return services.operators()
                .<Handler>map(operators -> new Handler.Sequence(operators, callers))
                .orElse(callers);
    }

    private List<PathRule> rules() {
        KeyCheck keys = new KeyCheck(services.keys());
        AdmissionGate admission =
                new AdmissionGate(services.admission(), services.upstreams().timeline());
        Set<String> get = Set.of("GET");
        Set<String> post = Set.of("POST");
        return List.of(
                new PathRule(
                        "chat_completions",
                        "/v1/chat/completions",
                        post,
                        true,
                        generation(GenerationBody::chat, keys, admission)),
                new PathRule(
                        "completions",
                        "/v1/completions",
                        post,
                        true,
                        generation(GenerationBody::completion, keys, admission)),
                new PathRule(
                        "services",
                        ServiceEndpoint.PREFIX,
                        Set.of(),
                        true,
                        new ServiceEndpoint(
                                keys, services.configuration(), admission, services.upstreams(), services.ledger())),
                new PathRule("calls", CallsEndpoint.PREFIX, get, true, new CallsEndpoint(keys, services.ledger())),
                new PathRule("models", "/v1/models", get, true, new ModelsEndpoint(keys, services.configuration())),
                new PathRule(
                        "addresses",
                        "/v1/addresses",
                        get,
                        false,
                        new AddressesEndpoint(services.membership(), settings.addressTimeToLiveMillis())),
                new PathRule("healthz", "/healthz", get, false, exchange -> exchange.sendText(OK, "ok\n")),
                new PathRule("readyz", "/readyz", get, false, this::answerReadiness),
                new PathRule("metrics", "/metrics", get, false, new MetricsEndpoint(services.metrics())));
    }

    private Endpoint generation(GenerationEndpoint.BodyReader reader, KeyCheck keys, AdmissionGate admission) {
        return new GenerationEndpoint(
                reader,
                keys,
                services.configuration(),
                admission,
                services.upstreams(),
                settings.maximumPromptTokens());
    }

    private void answerReadiness(HttpExchange exchange) throws IOException {
        boolean ready = services.ready().getAsBoolean();
        exchange.sendText(ready ? OK : NOT_READY, ready ? "ready\n" : "not ready\n");
    }

    /** Opens the port and starts to accept connections. */
    public void start() throws ServerException {
        try {
            server.start();
        } catch (Exception failure) {
            throw new ServerException("cannot listen on " + settings.callers(), failure);
        }
    }

    /** Returns the address that callers connect to. */
    public InetSocketAddress address() {
        return new InetSocketAddress(connector.getHost(), connector.getLocalPort());
    }

    /** Returns the counter of requests in flight. */
    public InFlightRequests inFlight() {
        return inFlight;
    }

    /** Stops the server and closes all connections. */
    public void stop() throws ServerException {
        try {
            server.stop();
        } catch (Exception failure) {
            throw new ServerException("the HTTP server could not be stopped", failure);
        }
    }

    /**
     * Dependencies of the request handlers.
     *
     * @param ready whether this VM can serve requests, for {@code /readyz}
     * @param operators handles the operators' paths and passes all others on to the callers' handler
     */
    public record Services(
            MetricRegistry metrics,
            ConfigurationView configuration,
            KeyVerifier keys,
            Admission admission,
            UpstreamAccess upstreams,
            CallLedger ledger,
            Membership membership,
            BooleanSupplier ready,
            Optional<Handler> operators) {}
}
