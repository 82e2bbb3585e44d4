package io.banyantally.internal.http;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.banyantally.internal.configuration.ClientAccountParameters;
import io.banyantally.internal.configuration.ConfigurationView;
import java.io.IOException;

/** Lists the models that the caller's client account may use. */
final class ModelsEndpoint implements Endpoint {

    private static final int OK = 200;

    private final KeyCheck keys;
    private final ConfigurationView configuration;

    ModelsEndpoint(KeyCheck keys, ConfigurationView configuration) {
        this.keys = keys;
        this.configuration = configuration;
    }

    @Override
    public void handle(HttpExchange exchange) throws RequestFailedException, IOException {
        ClientAccountParameters account = keys.check(exchange.authorization());
        ObjectNode answer = JsonNodeFactory.instance.objectNode().put("object", "list");
        ArrayNode data = answer.putArray("data");
        configuration.current().services().values().stream()
                .flatMap(template -> template.models().stream())
                .filter(account.models()::contains)
                .distinct()
                .sorted()
                .forEach(model -> data.addObject().put("id", model.value()).put("object", "model"));
        exchange.sendJson(OK, answer);
    }
}
