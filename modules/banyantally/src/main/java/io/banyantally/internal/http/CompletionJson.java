package io.banyantally.internal.http;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.banyantally.model.ExchangeId;

/** Builds the JSON of completions and stream chunks in the usual format of completion APIs. */
final class CompletionJson {

    private final String id;
    private final GenerationBody body;
    private final long createdSeconds;

    CompletionJson(ExchangeId exchange, GenerationBody body) {
        this.id = "completion-" + exchange.incarnation() + "-" + exchange.counter();
        this.body = body;
        this.createdSeconds = System.currentTimeMillis() / 1_000;
    }

    ObjectNode chunk(String text) {
        ObjectNode chunk = newObject(body.chat() ? "chat.completion.chunk" : "text_completion");
        ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
        if (body.chat()) {
            choice.putObject("delta").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.putNull("finish_reason");
        return chunk;
    }

    ObjectNode lastChunk(GenerationResult result) {
        ObjectNode chunk = newObject(body.chat() ? "chat.completion.chunk" : "text_completion");
        ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
        if (body.chat()) {
            choice.putObject("delta");
        } else {
            choice.put("text", "");
        }
        choice.put("finish_reason", finishReason(result));
        addUsage(chunk, result);
        return chunk;
    }

    ObjectNode completion(String text, GenerationResult result) {
        ObjectNode answer = newObject(body.chat() ? "chat.completion" : "text_completion");
        ObjectNode choice = answer.putArray("choices").addObject().put("index", 0);
        if (body.chat()) {
            choice.putObject("message").put("role", "assistant").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", finishReason(result));
        addUsage(answer, result);
        return answer;
    }

    private ObjectNode newObject(String object) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("id", id)
                .put("object", object)
                .put("created", createdSeconds)
                .put("model", body.model().value());
    }

    private String finishReason(GenerationResult result) {
        return result.outputTokens() >= body.maximumOutputTokens() ? "length" : "stop";
    }

    private static void addUsage(ObjectNode target, GenerationResult result) {
        ObjectNode usage = target.putObject("usage");
        usage.put("prompt_tokens", result.promptTokens());
        usage.put("completion_tokens", result.outputTokens());
        usage.put("total_tokens", result.promptTokens() + result.outputTokens());
        usage.putObject("prompt_tokens_details").put("cached_tokens", result.cachedTokens());
    }
}
