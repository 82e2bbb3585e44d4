package io.banyantally.internal.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.banyantally.internal.admission.WorkEstimate;
import io.banyantally.model.AdapterName;
import io.banyantally.model.ModelName;
import java.util.Optional;

/**
 * The body of a completion request.
 *
 * @param chat whether the response is a chat completion, not a text completion
 */
record GenerationBody(
        ModelName model,
        Optional<AdapterName> adapter,
        String prompt,
        int maximumOutputTokens,
        boolean stream,
        boolean chat) {

    private static final int DEFAULT_OUTPUT_TOKENS = 256;
    private static final int MAXIMUM_OUTPUT_TOKENS = 32_768;

    static GenerationBody chat(JsonNode body) throws RequestFailedException {
        JsonNode messages = body.get("messages");
        if (messages == null || !messages.isArray() || messages.isEmpty()) {
            throw invalid("messages", "a list with at least one message");
        }
        StringBuilder prompt = new StringBuilder();
        for (JsonNode message : messages) {
            if (!message.path("role").isTextual() || !message.path("content").isTextual()) {
                throw invalid("messages", "objects with the strings role and content");
            }
            prompt.append(message.get("role").textValue())
                    .append(": ")
                    .append(message.get("content").textValue())
                    .append('\n');
        }
        return read(body, prompt.toString(), true);
    }

    static GenerationBody completion(JsonNode body) throws RequestFailedException {
        if (!body.path("prompt").isTextual()) {
            throw invalid("prompt", "a string");
        }
        return read(body, body.get("prompt").textValue(), false);
    }

    private static GenerationBody read(JsonNode body, String prompt, boolean chat) throws RequestFailedException {
        if (!body.path("model").isTextual()) {
            throw invalid("model", "a model name");
        }
        JsonNode stream = body.path("stream");
        if (!stream.isMissingNode() && !stream.isBoolean()) {
            throw invalid("stream", "true or false");
        }
        return new GenerationBody(
                modelName(body.get("model").textValue()),
                adapterName(body.path("adapter")),
                prompt,
                outputTokens(body),
                stream.asBoolean(false),
                chat);
    }

    private static ModelName modelName(String text) throws RequestFailedException {
        try {
            return new ModelName(text);
        } catch (IllegalArgumentException invalid) {
            throw RequestFailedException.notRun(ErrorType.UNKNOWN_MODEL, "no model has this name");
        }
    }

    private static Optional<AdapterName> adapterName(JsonNode adapter) throws RequestFailedException {
        if (adapter.isMissingNode() || adapter.isNull()) {
            return Optional.empty();
        }
        try {
            return Optional.of(new AdapterName(adapter.asText()));
        } catch (IllegalArgumentException invalid) {
            throw invalid("adapter", "an adapter name");
        }
    }

    private static int outputTokens(JsonNode body) throws RequestFailedException {
        JsonNode limit =
                body.has("max_completion_tokens") ? body.get("max_completion_tokens") : body.path("max_tokens");
        if (limit.isMissingNode() || limit.isNull()) {
            return DEFAULT_OUTPUT_TOKENS;
        }
        if (!limit.isIntegralNumber() || limit.asLong() < 1 || limit.asLong() > MAXIMUM_OUTPUT_TOKENS) {
            throw invalid("max_tokens", "a whole number from 1 to " + MAXIMUM_OUTPUT_TOKENS);
        }
        return limit.intValue();
    }

    WorkEstimate work() {
        return WorkEstimate.ofPrompt(prompt, maximumOutputTokens);
    }

    private static RequestFailedException invalid(String field, String allowed) {
        return RequestFailedException.notRun(
                ErrorType.INVALID_REQUEST, "field '" + field + "' is missing or invalid; expected: " + allowed);
    }
}
