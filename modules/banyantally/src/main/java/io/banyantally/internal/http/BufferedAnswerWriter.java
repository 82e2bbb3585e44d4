package io.banyantally.internal.http;

import java.io.IOException;

/** Buffers an answer and sends it as one JSON object when it is complete. */
final class BufferedAnswerWriter implements AnswerWriter {

    private static final int OK = 200;

    private final HttpExchange exchange;
    private final CompletionJson json;
    private final StringBuilder text = new StringBuilder();

    BufferedAnswerWriter(HttpExchange exchange, CompletionJson json) {
        this.exchange = exchange;
        this.json = json;
    }

    @Override
    public void writeToken(String token) {
        text.append(token);
    }

    @Override
    public void writeEnd(GenerationResult result) throws IOException {
        exchange.sendJson(OK, json.completion(text.toString(), result));
    }

    @Override
    public void writeFailure(RequestFailedException failure) throws IOException {
        exchange.sendError(failure);
    }

    @Override
    public boolean hasStarted() {
        return false;
    }
}
