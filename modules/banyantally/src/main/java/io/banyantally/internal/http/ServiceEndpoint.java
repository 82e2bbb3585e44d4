package io.banyantally.internal.http;

import io.banyantally.internal.admission.AdmissionRequest;
import io.banyantally.internal.admission.AdmissionTicket;
import io.banyantally.internal.admission.WorkEstimate;
import io.banyantally.internal.configuration.ClientAccountParameters;
import io.banyantally.internal.configuration.ConfigurationView;
import io.banyantally.internal.configuration.PlainRoute;
import io.banyantally.internal.configuration.ServiceKind;
import io.banyantally.internal.configuration.ServiceTemplate;
import io.banyantally.internal.idempotency.CallLedger;
import io.banyantally.model.ClientAccountId;
import io.banyantally.model.ServiceName;
import io.banyantally.upstream.HeaderField;
import io.banyantally.upstream.ServiceAnswer;
import java.io.IOException;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Forwards calls to plain services under {@code /services/{service}/...}. */
final class ServiceEndpoint implements Endpoint {

    static final String PREFIX = "/services/";

    /**
     * Client account of callers without a key on open routes; its usage is not recorded, and no key can be issued for
     * it.
     */
    static final ClientAccountId OPEN_ACCOUNT = new ClientAccountId("open-routes");

    private static final int OPEN_CONCURRENT_REQUESTS = 1_000;
    private static final double NO_TOKEN_LIMIT = 1e12;

    private final KeyCheck keys;
    private final ConfigurationView configuration;
    private final AdmissionGate admission;
    private final UpstreamAccess upstreams;
    private final CallLedger ledger;

    ServiceEndpoint(
            KeyCheck keys,
            ConfigurationView configuration,
            AdmissionGate admission,
            UpstreamAccess upstreams,
            CallLedger ledger) {
        this.keys = keys;
        this.configuration = configuration;
        this.admission = admission;
        this.upstreams = upstreams;
        this.ledger = ledger;
    }

    @Override
    public void handle(HttpExchange exchange) throws RequestFailedException, IOException, InterruptedException {
        ServicePath path = ServicePath.parse(exchange.path(), exchange.rawPathAndQuery());
        ServiceTemplate template = template(path.service());
        Optional<PlainRoute> route = routeOf(template, path.path());
        ClientAccountParameters account = account(exchange, template, route);
        byte[] body = exchange.body();
        KeyExposure exposure = KeyExposure.of(exchange.authorization());
        exposure.check(exchange.rawPathAndQuery(), body);
        List<HeaderField> headers = ForwardedHeaders.of(exchange.request(), exposure);
        PlainCall call = new PlainCall(
                upstreams, account, path.service(), exchange.method(), path.pathAndQuery(), headers, body);
        AdmissionRequest request =
                new AdmissionRequest(account, path.service(), new WorkEstimate(0, 0), TimeLimit.of(exchange));
        try (AdmissionTicket ticket = admission.admit(request)) {
            ServiceAnswer answer = isIdempotent(exchange.method(), route)
                    ? call.runIdempotent(ticket)
                    : call.runAtMostOnce(ledger, exchange.header("Idempotency-Key"));
            ticket.finish(0);
            ServiceAnswerWriter.write(exchange, answer);
        }
    }

    private ServiceTemplate template(ServiceName service) throws RequestFailedException {
        ServiceTemplate template = configuration.current().services().get(service);
        if (template == null || template.kind() != ServiceKind.PLAIN) {
            throw RequestFailedException.notRun(
                    ErrorType.UNKNOWN_SERVICE, "there is no plain service '" + service + "'");
        }
        return template;
    }

    private static Optional<PlainRoute> routeOf(ServiceTemplate template, String path) {
        return template.routes().stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .max(Comparator.comparingInt(route -> route.pathPrefix().length()));
    }

    /** A key in the request must be valid and allowed for the service, even on an open route. */
    private ClientAccountParameters account(HttpExchange exchange, ServiceTemplate template, Optional<PlainRoute> route)
            throws RequestFailedException {
        boolean open = route.map(PlainRoute::open).orElse(false);
        if (open && exchange.authorization().isEmpty()) {
            return openAccount(template);
        }
        ClientAccountParameters account = keys.check(exchange.authorization());
        if (!account.services().contains(template.service())) {
            throw RequestFailedException.notRun(
                    ErrorType.NOT_ALLOWED, "this client account may not use service '" + template.service() + "'");
        }
        return account;
    }

    private static ClientAccountParameters openAccount(ServiceTemplate template) {
        return new ClientAccountParameters(
                OPEN_ACCOUNT,
                Set.of(),
                Set.of(),
                Set.of(template.service()),
                0,
                1,
                Math.max(Double.MIN_NORMAL, template.openRequestsPerSecond()),
                NO_TOKEN_LIMIT,
                OPEN_CONCURRENT_REQUESTS);
    }

    private static boolean isIdempotent(String method, Optional<PlainRoute> route) {
        return switch (method) {
            case "GET", "HEAD", "PUT", "DELETE", "OPTIONS" -> true;
            default -> route.map(PlainRoute::repeatable).orElse(false);
        };
    }
}
