package io.banyantally.internal.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** Writes an answer as server-sent events, terminated by {@code data: [DONE]}. */
final class EventStreamWriter implements AnswerWriter {

    private static final byte[] PREFIX = "data: ".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] SEPARATOR = "\n\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] TERMINATOR = "data: [DONE]\n\n".getBytes(StandardCharsets.US_ASCII);

    private final HttpExchange exchange;
    private final CompletionJson json;
    private OutputStream output;

    EventStreamWriter(HttpExchange exchange, CompletionJson json) {
        this.exchange = exchange;
        this.json = json;
    }

    @Override
    public void writeToken(String text) throws IOException {
        write(json.chunk(text));
    }

    @Override
    public void writeEnd(GenerationResult result) throws IOException {
        write(json.lastChunk(result));
        output.write(TERMINATOR);
        output.close();
    }

    @Override
    public void writeFailure(RequestFailedException failure) throws IOException {
        write(ErrorBody.of(failure));
        output.close();
    }

    @Override
    public boolean hasStarted() {
        return output != null;
    }

    private void write(JsonNode event) throws IOException {
        if (output == null) {
            output = exchange.startStream("text/event-stream");
        }
        output.write(PREFIX);
        output.write(HttpExchange.toBytes(event));
        output.write(SEPARATOR);
        output.flush();
    }
}
