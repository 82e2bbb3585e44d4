package io.banyantally.internal.http;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.timeline.EventField;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Routes each request to the endpoint of its path and sends typed errors. */
final class EntryHandler extends Handler.Abstract {

    private static final EventLog LOG = EventLog.of(EntryHandler.class);

    private final List<PathRule> rules;
    private final InFlightRequests inFlight;
    private final MetricRegistry metrics;
    private final int maximumBodyBytes;

    EntryHandler(List<PathRule> rules, InFlightRequests inFlight, MetricRegistry metrics, int maximumBodyBytes) {
        this.rules = List.copyOf(rules);
        this.inFlight = inFlight;
        this.metrics = metrics;
        this.maximumBodyBytes = maximumBodyBytes;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        HttpExchange exchange = new HttpExchange(request, response, maximumBodyBytes);
        try {
            run(exchange);
            callback.succeeded();
        } catch (IOException callerGone) {
            callback.failed(callerGone);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
            callback.failed(stopped);
        }
        return true;
    }

    private void run(HttpExchange exchange) throws IOException, InterruptedException {
        Optional<PathRule> rule = rules.stream()
                .filter(candidate -> candidate.matches(exchange.path()))
                .findFirst();
        boolean isCounted = rule.map(PathRule::counted).orElse(true);
        boolean begun = isCounted && inFlight.tryBegin();
        try {
            answer(exchange, rule, begun || !isCounted);
        } finally {
            if (begun) {
                inFlight.end();
            }
        }
    }

    private void answer(HttpExchange exchange, Optional<PathRule> rule, boolean admitted)
            throws IOException, InterruptedException {
        try {
            dispatch(exchange, rule, admitted);
        } catch (RequestFailedException failure) {
            metrics.counter("requests.refused." + failure.type().wireName()).inc();
            exchange.sendError(failure);
        } catch (RuntimeException unexpected) {
            LOG.error("request_failed", unexpected, EventField.of("path", exchange.path()));
            metrics.counter("requests.refused.internal_error").inc();
            if (exchange.isCommitted()) {
                throw new IOException("the request failed after its response had been started", unexpected);
            }
            exchange.sendError(
                    RequestFailedException.mayHaveRun(ErrorType.INTERNAL_ERROR, "unexpected error in this VM"));
        }
    }

    private void dispatch(HttpExchange exchange, Optional<PathRule> found, boolean admitted)
            throws RequestFailedException, IOException, InterruptedException {
        PathRule rule = found.orElseThrow(
                () -> RequestFailedException.notRun(ErrorType.NOT_FOUND, "there is no endpoint at this path"));
        if (!rule.allows(exchange.method())) {
            exchange.setHeader("Allow", String.join(", ", rule.methods()));
            throw RequestFailedException.notRun(
                    ErrorType.METHOD_NOT_ALLOWED,
                    "method not allowed; this path accepts " + String.join(", ", rule.methods()));
        }
        if (!rule.counted()) {
            rule.endpoint().handle(exchange);
            return;
        }
        if (!admitted) {
            throw RequestFailedException.notRun(
                    ErrorType.DRAINING,
                    java.time.Duration.ofSeconds(1),
                    "this VM is shutting down; use another address");
        }
        Timer.Context timing = metrics.timer("requests." + rule.name()).time();
        try {
            rule.endpoint().handle(exchange);
        } finally {
            timing.stop();
        }
    }

    /**
     * The endpoint of a path.
     *
     * @param name the name of the path in metrics
     * @param path the path; a prefix if it ends with a slash
     * @param methods the allowed methods; empty for all
     * @param counted whether requests count as in flight, so that a graceful shutdown waits for them
     */
    record PathRule(String name, String path, Set<String> methods, boolean counted, Endpoint endpoint) {

        PathRule {
            methods = Set.copyOf(methods);
        }

        boolean matches(String requested) {
            return path.endsWith("/") ? requested.startsWith(path) : requested.equals(path);
        }

        boolean allows(String method) {
            return methods.isEmpty() || methods.contains(method);
        }
    }
}
