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

/** Finds the endpoint of a request and runs it in the request's own task. */
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
        boolean counts = rule.map(PathRule::counted).orElse(true);
        boolean entered = counts && inFlight.enter();
        try {
            answer(exchange, rule, entered || !counts);
        } finally {
            if (entered) {
                inFlight.leave();
            }
        }
    }

    private void answer(HttpExchange exchange, Optional<PathRule> rule, boolean admitted)
            throws IOException, InterruptedException {
        try {
            dispatch(exchange, rule, admitted);
        } catch (RequestRefusedException refused) {
            metrics.counter("requests.refused." + refused.type().wireName()).inc();
            exchange.sendRefusal(refused);
        } catch (RuntimeException fault) {
            LOG.error("request_failed", fault, EventField.of("path", exchange.path()));
            metrics.counter("requests.refused.internal_error").inc();
            if (exchange.isCommitted()) {
                throw new IOException("the response had begun when the request failed", fault);
            }
            exchange.sendRefusal(
                    RequestRefusedException.mayHaveRun(ErrorType.INTERNAL_ERROR, "a fault in this system"));
        }
    }

    private void dispatch(HttpExchange exchange, Optional<PathRule> found, boolean admitted)
            throws RequestRefusedException, IOException, InterruptedException {
        PathRule rule = found.orElseThrow(() -> RequestRefusedException.notRun(ErrorType.NOT_FOUND, "no such path"));
        if (!rule.allows(exchange.method())) {
            exchange.setHeader("Allow", String.join(", ", rule.methods()));
            throw RequestRefusedException.notRun(
                    ErrorType.METHOD_NOT_ALLOWED, "this path takes " + String.join(", ", rule.methods()));
        }
        if (!rule.counted()) {
            rule.endpoint().handle(exchange);
            return;
        }
        if (!admitted) {
            throw RequestRefusedException.notRun(
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
     * @param name the name in the metrics
     * @param path the whole path, or its start if it ends with a slash
     * @param methods the allowed methods; empty for all
     * @param counted whether a graceful shutdown waits for its requests
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
