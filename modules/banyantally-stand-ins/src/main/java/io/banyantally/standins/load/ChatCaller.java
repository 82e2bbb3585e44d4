package io.banyantally.standins.load;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import io.banyantally.internal.adapter.AdapterHttpClient;
import io.banyantally.internal.adapter.ExchangeException;
import io.banyantally.internal.adapter.HttpCall;
import io.banyantally.internal.adapter.HttpExchange;
import io.banyantally.internal.adapter.NothingSentException;
import io.banyantally.internal.adapter.WireFormat;
import io.banyantally.standins.engine.ExpectedText;
import io.banyantally.upstream.HeaderField;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Sends chat completions and verifies the streamed answers. */
final class ChatCaller {

    private static final String PATH = "/v1/chat/completions";
    private static final String DATA = "data: ";
    private static final String DONE = "[DONE]";
    private static final int MAXIMUM_ERROR_BYTES = 1 << 20;

    private final AdapterHttpClient client;
    private final String model;
    private final Duration readTimeout;
    private final Optional<Integer> deadlineSeconds;

    /**
     * Creates a caller.
     *
     * @param deadlineSeconds the value of the header {@code Request-Timeout} of its requests
     */
    ChatCaller(AdapterHttpClient client, String model, Duration readTimeout, Optional<Integer> deadlineSeconds) {
        this.deadlineSeconds = deadlineSeconds;
        this.client = client;
        this.model = model;
        this.readTimeout = readTimeout;
    }

    Outcome call(InetSocketAddress address, PlannedChat chat) throws InterruptedException {
        HttpCall call = new HttpCall(address, "POST", PATH, headers(chat), body(chat), true, readTimeout, () -> true);
        long sentAt = System.nanoTime();
        try (HttpExchange exchange = client.open(call)) {
            if (exchange.status() != 200) {
                return ErrorAnswer.outcome(
                        exchange.status(),
                        exchange.readWhole(MAXIMUM_ERROR_BYTES).body());
            }
            Outcome outcome = read(exchange, chat, sentAt);
            exchange.finish(readTimeout);
            return outcome;
        } catch (NothingSentException failure) {
            return Outcome.without(Outcome.Kind.NOT_CONNECTED);
        } catch (ExchangeException | IOException failure) {
            return Outcome.without(Outcome.Kind.CUT);
        }
    }

    private List<HeaderField> headers(PlannedChat chat) {
        List<HeaderField> headers = new ArrayList<>();
        headers.add(new HeaderField("Authorization", "Bearer " + chat.account().key()));
        deadlineSeconds.ifPresent(
                seconds -> headers.add(new HeaderField("Request-Timeout", Integer.toString(seconds))));
        return headers;
    }

    private byte[] body(PlannedChat chat) {
        List<Message> messages = new ArrayList<>();
        if (!chat.context().isEmpty()) {
            messages.add(new Message("system", chat.context()));
        }
        messages.add(new Message("user", chat.question()));
        return WireFormat.encode(new Body(model, messages, chat.outputTokens(), true));
    }

    private static Outcome read(HttpExchange exchange, PlannedChat chat, long sentAt) throws IOException {
        BufferedReader reader = new BufferedReader(new InputStreamReader(exchange.body(), StandardCharsets.UTF_8));
        ExpectedText expected = ExpectedText.ofPrompt(chat.question());
        StringBuilder text = new StringBuilder();
        long first = 0;
        long last = 0;
        int tokens = 0;
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            if (!line.startsWith(DATA)) {
                continue;
            }
            String data = line.substring(DATA.length());
            if (data.equals(DONE)) {
                boolean matches = text.toString().equals(expected.text(chat.outputTokens()));
                while (reader.readLine() != null) {
                    // Reads to the end of the HTTP answer, so that the connection ends cleanly.
                }
                long interval = tokens > 1 ? (last - first) / (tokens - 1) : 0;
                return new Outcome(
                        matches ? Outcome.Kind.COMPLETE : Outcome.Kind.WRONG, "", first - sentAt, interval, tokens, 0);
            }
            JsonNode event = WireFormat.decode(data.getBytes(StandardCharsets.UTF_8), JsonNode.class);
            if (event.has("error")) {
                Outcome stated = ErrorAnswer.outcome(200, event.path("error"));
                // An error after the first token counts as a truncated answer, whatever its type.
                return tokens > 0 ? Outcome.without(Outcome.Kind.CUT) : stated;
            }
            String content =
                    event.path("choices").path(0).path("delta").path("content").asText("");
            if (!content.isEmpty()) {
                last = System.nanoTime();
                first = tokens == 0 ? last : first;
                tokens++;
                text.append(content);
            }
        }
        return Outcome.without(Outcome.Kind.CUT);
    }

    private record Message(String role, String content) {}

    private record Body(
            String model,
            List<Message> messages,
            @JsonProperty("max_tokens") int maximumTokens,
            boolean stream) {}
}
