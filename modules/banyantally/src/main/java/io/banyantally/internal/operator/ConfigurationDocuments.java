package io.banyantally.internal.operator;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.banyantally.internal.configuration.ClientAccountParameters;
import io.banyantally.internal.configuration.PlainRoute;
import io.banyantally.internal.configuration.ServiceKind;
import io.banyantally.internal.configuration.ServiceTemplate;
import io.banyantally.model.AdapterName;
import io.banyantally.model.ClientAccountId;
import io.banyantally.model.ModelName;
import io.banyantally.model.ServiceName;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;

/** Parses and writes the JSON documents of services and client accounts. */
final class ConfigurationDocuments {

    static final ObjectMapper MAPPER = new ObjectMapper()
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);

    private static final String NAME_FORMAT = "a name of letters, digits, '.', '_', ':' or '-'";
    private static final String POSITIVE_NUMBER = "a number above 0";

    private ConfigurationDocuments() {}

    static JsonNode parse(byte[] body) throws InvalidDocumentException {
        try {
            JsonNode node = MAPPER.readTree(body);
            if (node != null && !node.isMissingNode()) {
                return node;
            }
        } catch (JsonProcessingException failure) {
            throw new InvalidDocumentException(
                    List.of(new FieldProblem("/", failure.getOriginalMessage(), "one JSON document")));
        } catch (java.io.IOException failure) {
            throw new java.io.UncheckedIOException("cannot read " + body.length + " bytes from memory", failure);
        }
        throw new InvalidDocumentException(List.of(new FieldProblem("/", "nothing", "one JSON document")));
    }

    static ServiceTemplate service(ServiceName name, JsonNode node) throws InvalidDocumentException {
        List<FieldProblem> problems = new ArrayList<>();
        FieldReader reader = new FieldReader(node, "", problems);
        ServiceName written = reader.text("service", name, "the name in the path, " + name, ServiceName::plain);
        reader.require(written.equals(name), "service", written, "the name in the path, " + name);
        String kinds = Arrays.toString(ServiceKind.values()).toLowerCase(Locale.ROOT);
        ServiceKind kind = reader.text("kind", ServiceKind.MODEL, "one of " + kinds, ConfigurationDocuments::kind);
        List<ModelName> models = reader.names("models", NAME_FORMAT, ModelName::new);
        List<AdapterName> adapters = reader.names("adapters", NAME_FORMAT, AdapterName::new);
        List<PlainRoute> routes = reader.objects("routes", ConfigurationDocuments::route);
        int minimum = reader.integer("minimumReplicas", 0);
        int maximum = reader.integer("maximumReplicas", 0);
        double open = reader.number("openRequestsPerSecond", "0 or a number above 0", value -> value >= 0);
        reader.require(maximum >= minimum, "maximumReplicas", maximum, "at least minimumReplicas, " + minimum);
        reader.require(
                kind == ServiceKind.MODEL || models.isEmpty(), "models", models, "an empty list for a plain service");
        reader.require(
                kind == ServiceKind.PLAIN || routes.isEmpty(), "routes", routes, "an empty list for a model service");
        reader.require(
                new HashSet<>(routes.stream().map(PlainRoute::pathPrefix).toList()).size() == routes.size(),
                "routes",
                routes,
                "each pathPrefix once");
        reader.rejectUnknownFields();
        throwIfInvalid(problems);
        return new ServiceTemplate(written, kind, models, adapters, routes, minimum, maximum, open);
    }

    private static ServiceKind kind(String text) {
        return ServiceKind.valueOf(text.toUpperCase(Locale.ROOT));
    }

    private static PlainRoute route(FieldReader reader) {
        String prefix = reader.text("pathPrefix", "/", "a path that starts with '/'", ConfigurationDocuments::path);
        PlainRoute route = new PlainRoute(prefix, reader.bool("open"), reader.bool("repeatable"));
        reader.rejectUnknownFields();
        return route;
    }

    private static String path(String text) {
        return new PlainRoute(text, false, false).pathPrefix();
    }

    static ClientAccountParameters account(ClientAccountId id, JsonNode node) throws InvalidDocumentException {
        List<FieldProblem> problems = new ArrayList<>();
        FieldReader reader = new FieldReader(node, "", problems);
        ClientAccountId written = reader.text("account", id, "the name in the path, " + id, ClientAccountId::plain);
        reader.require(written.equals(id), "account", written, "the name in the path, " + id);
        List<ModelName> models = reader.names("models", NAME_FORMAT, ModelName::new);
        List<AdapterName> adapters = reader.names("adapters", NAME_FORMAT, AdapterName::new);
        List<ServiceName> services = reader.names("services", NAME_FORMAT, ServiceName::plain);
        int priority = reader.integer("priority");
        double weight = reader.number("weight", POSITIVE_NUMBER, value -> value > 0);
        double requests = reader.number("requestsPerSecond", POSITIVE_NUMBER, value -> value > 0);
        double tokens = reader.number("tokensPerSecond", POSITIVE_NUMBER, value -> value > 0);
        int concurrent = reader.integer("concurrentRequests", 1);
        reader.rejectUnknownFields();
        throwIfInvalid(problems);
        return new ClientAccountParameters(
                written,
                new HashSet<>(models),
                new HashSet<>(adapters),
                new HashSet<>(services),
                priority,
                weight,
                requests,
                tokens,
                concurrent);
    }

    private static void throwIfInvalid(List<FieldProblem> problems) throws InvalidDocumentException {
        if (!problems.isEmpty()) {
            throw new InvalidDocumentException(problems);
        }
    }

    static ObjectNode write(ServiceTemplate service) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("service", service.service().value());
        node.put("kind", service.kind().name().toLowerCase(Locale.ROOT));
        list(node, "models", service.models());
        list(node, "adapters", service.adapters());
        var routes = node.putArray("routes");
        service.routes()
                .forEach(route -> routes.addObject()
                        .put("pathPrefix", route.pathPrefix())
                        .put("open", route.open())
                        .put("repeatable", route.repeatable()));
        node.put("minimumReplicas", service.minimumReplicas());
        node.put("maximumReplicas", service.maximumReplicas());
        return node.put("openRequestsPerSecond", service.openRequestsPerSecond());
    }

    static ObjectNode write(ClientAccountParameters account) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("account", account.account().value());
        list(node, "models", account.models().stream().sorted().toList());
        list(node, "adapters", account.adapters().stream().sorted().toList());
        list(node, "services", account.services().stream().sorted().toList());
        node.put("priority", account.priority());
        node.put("weight", account.weight());
        node.put("requestsPerSecond", account.requestsPerSecond());
        node.put("tokensPerSecond", account.tokensPerSecond());
        return node.put("concurrentRequests", account.concurrentRequests());
    }

    private static void list(ObjectNode node, String name, Collection<?> values) {
        var array = node.putArray(name);
        values.forEach(value -> array.add(value.toString()));
    }
}
