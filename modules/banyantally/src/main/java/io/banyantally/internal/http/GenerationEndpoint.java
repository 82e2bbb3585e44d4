package io.banyantally.internal.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.banyantally.internal.admission.AdmissionRequest;
import io.banyantally.internal.admission.AdmissionTicket;
import io.banyantally.internal.admission.WorkEstimate;
import io.banyantally.internal.configuration.ClientAccountParameters;
import io.banyantally.internal.configuration.ConfigurationView;
import io.banyantally.internal.configuration.ServiceTemplate;
import io.banyantally.model.AdapterName;
import io.banyantally.model.ModelName;
import io.banyantally.model.ServiceName;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;

/** Handles the completion paths: validates the request, waits for admission and runs the generation. */
final class GenerationEndpoint implements Endpoint {

    private final BodyReader reader;
    private final KeyCheck keys;
    private final ConfigurationView configuration;
    private final AdmissionGate admission;
    private final UpstreamAccess upstreams;
    private final int maximumPromptTokens;

    GenerationEndpoint(
            BodyReader reader,
            KeyCheck keys,
            ConfigurationView configuration,
            AdmissionGate admission,
            UpstreamAccess upstreams,
            int maximumPromptTokens) {
        this.reader = reader;
        this.keys = keys;
        this.configuration = configuration;
        this.admission = admission;
        this.upstreams = upstreams;
        this.maximumPromptTokens = maximumPromptTokens;
    }

    @Override
    public void handle(HttpExchange exchange) throws RequestFailedException, IOException, InterruptedException {
        ClientAccountParameters account = keys.check(exchange.authorization());
        byte[] bytes = exchange.body();
        KeyExposure.of(exchange.authorization()).check(exchange.rawPathAndQuery(), bytes);
        GenerationBody body = reader.read(HttpExchange.parseJson(bytes));
        ServiceName service = serviceOf(account, body);
        Duration timeLimit = TimeLimit.of(exchange);
        CompletionJson json = new CompletionJson(upstreams.exchangeIds().next(), body);
        AnswerWriter writer =
                body.stream() ? new EventStreamWriter(exchange, json) : new BufferedAnswerWriter(exchange, json);
        WorkEstimate work = upstreams.estimator().estimate(service, body.prompt(), body.work());
        AdmissionRequest request = new AdmissionRequest(account, service, work, timeLimit);
        try (AdmissionTicket ticket = admission.admit(request)) {
            new Generation(upstreams, account, service, body, ticket, writer).run();
        } catch (RequestFailedException failure) {
            if (!writer.hasStarted()) {
                throw failure;
            }
            writer.writeFailure(failure);
        }
    }

    private ServiceName serviceOf(ClientAccountParameters account, GenerationBody body) throws RequestFailedException {
        ServiceTemplate template = serving(body.model())
                .orElseThrow(() -> RequestFailedException.notRun(
                        ErrorType.UNKNOWN_MODEL, "no service serves model '" + body.model() + "'"));
        if (!account.models().contains(body.model())) {
            throw RequestFailedException.notRun(
                    ErrorType.NOT_ALLOWED, "this client account may not use model '" + body.model() + "'");
        }
        Optional<AdapterName> adapter = body.adapter();
        if (adapter.isPresent()
                && !(template.adapters().contains(adapter.get())
                        && account.adapters().contains(adapter.get()))) {
            throw RequestFailedException.notRun(
                    ErrorType.NOT_ALLOWED, "this client account may not use adapter '" + adapter.get() + "'");
        }
        if (body.work().promptTokens() > maximumPromptTokens) {
            throw RequestFailedException.notRun(
                    ErrorType.PROMPT_TOO_LARGE,
                    "the prompt has about " + body.work().promptTokens() + " tokens; at most " + maximumPromptTokens
                            + " are allowed");
        }
        return template.service();
    }

    private Optional<ServiceTemplate> serving(ModelName model) {
        return configuration.current().services().values().stream()
                .filter(template -> template.models().contains(model))
                .findFirst();
    }

    /** Parses the body of a request to one of the completion paths. */
    @FunctionalInterface
    interface BodyReader {

        GenerationBody read(JsonNode body) throws RequestFailedException;
    }
}
