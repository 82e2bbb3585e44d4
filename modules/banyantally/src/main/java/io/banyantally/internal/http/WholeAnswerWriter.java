package io.banyantally.internal.http;

import java.io.IOException;

/** Collects an answer and writes it as one JSON object. */
final class WholeAnswerWriter implements AnswerWriter {

    private static final int OK = 200;

    private final HttpExchange exchange;
    private final CompletionJson json;
    private final StringBuilder text = new StringBuilder();

    WholeAnswerWriter(HttpExchange exchange, CompletionJson json) {
        this.exchange = exchange;
        this.json = json;
    }

    @Override
    public void token(String token) {
        text.append(token);
    }

    @Override
    public void end(GenerationResult result) throws IOException {
        exchange.sendJson(OK, json.whole(text.toString(), result));
    }

    @Override
    public void fail(RequestRefusedException failure) throws IOException {
        exchange.sendRefusal(failure);
    }

    @Override
    public boolean hasStarted() {
        return false;
    }
}
