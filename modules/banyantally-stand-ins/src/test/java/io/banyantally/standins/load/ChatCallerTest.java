package io.banyantally.standins.load;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.banyantally.internal.adapter.AdapterHttpClient;
import io.banyantally.standins.StandInServer;
import io.banyantally.standins.engine.ExpectedText;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a load tool that counts truncated, wrong or refused answers as good. */
final class ChatCallerTest {

    private static final String QUESTION = "Which cell is worn? " + ExpectedText.marker(5);
    private static final ExpectedText EXPECTED = ExpectedText.ofPrompt(QUESTION);
    private static final PlannedChat CHAT =
            new PlannedChat(new LoadAccount("taller-norte", "key-1", 1), "history", QUESTION, 2);
    private static final String DONE = "data: [DONE]\n\n";

    private final AdapterHttpClient client = AdapterHttpClient.start();

    @AfterEach
    void closeClient() {
        client.close();
    }

    private Outcome callWith(int status, String body) throws Exception {
        try (StandInServer server = StandInServer.start(
                0,
                Duration.ofSeconds(20),
                exchange -> exchange.answerBytes(status, "text/event-stream", body.getBytes(StandardCharsets.UTF_8)))) {
            return new ChatCaller(client, "m", Duration.ofSeconds(20), Optional.empty()).call(server.address(), CHAT);
        }
    }

    private static String event(String content) {
        return "data: {\"choices\":[{\"delta\":{\"content\":\"" + content + "\"}}]}\n\n";
    }

    @Test
    void completeAnswerIsComplete() throws Exception {
        Outcome outcome = callWith(200, event(EXPECTED.token(0)) + event(EXPECTED.token(1)) + DONE);
        assertEquals(Outcome.Kind.COMPLETE, outcome.kind());
        assertEquals(2, outcome.tokens());
    }

    @Test
    void answerWithoutEndMarkerIsCut() throws Exception {
        String all = event(EXPECTED.token(0)) + event(EXPECTED.token(1));
        assertEquals(Outcome.Kind.CUT, callWith(200, all).kind());
        String error = "data: {\"error\":{\"type\":\"upstream\",\"notRun\":true}}\n\n";
        assertEquals(
                Outcome.Kind.CUT,
                callWith(200, event(EXPECTED.token(0)) + error).kind());
    }

    @Test
    void otherTextIsWrong() throws Exception {
        assertEquals(
                Outcome.Kind.WRONG,
                callWith(200, event(EXPECTED.token(0)) + DONE).kind());
        assertEquals(
                Outcome.Kind.WRONG,
                callWith(200, event(EXPECTED.token(1)) + event(EXPECTED.token(0)) + DONE)
                        .kind());
    }

    @Test
    void refusalIsNotRunOnlyIfItStatesSo() throws Exception {
        Outcome refused =
                callWith(429, "{\"error\":{\"type\":\"overload\",\"notRun\":true,\"retryAfterSeconds\":2.5}}");
        assertEquals(new Outcome(Outcome.Kind.NOT_RUN, "overload", 0, 0, 0, 2.5), refused);
        assertEquals(
                Outcome.Kind.UNKNOWN,
                callWith(502, "{\"error\":{\"type\":\"cut\",\"notRun\":false}}").kind());
        assertEquals(Outcome.Kind.UNKNOWN, callWith(500, "no JSON").kind());
    }
}
