package io.banyantally.standins.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.banyantally.internal.adapter.WireFormat;
import io.banyantally.standins.StandInExchange;
import io.banyantally.standins.StandInServer;
import io.banyantally.standins.engine.ExpectedText;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** Guards against a summary whose counts of lost, cut, wrong and open answers differ from what the entry sent. */
final class LoadCommandTest {

    private static final String ACCOUNTS = """
            [{"account":"taller-norte","key":"k1","share":5},{"account":"finca","key":"k2","share":1}]""";

    private final AtomicLong chats = new AtomicLong();
    private final AtomicLong cutChats = new AtomicLong();
    private final AtomicLong addressAnswers = new AtomicLong();
    private final Set<String> executed = ConcurrentHashMap.newKeySet();
    private StandInServer entry;

    @TempDir
    private Path folder;

    /** An entry that truncates every seventh chat and closes the connection of every order after its execution. */
    private void answer(StandInExchange exchange) throws IOException {
        if (exchange.path().equals("/v1/addresses")) {
            addressAnswers.incrementAndGet();
            String address = "127.0.0.1:" + entry.address().getPort();
            exchange.answerBytes(
                    200,
                    "application/json",
                    ("{\"timeToLiveMillis\":60000,\"addresses\":[{\"address\":\"" + address + "\"}]}")
                            .getBytes(StandardCharsets.UTF_8));
        } else if (exchange.path().equals("/v1/chat/completions")) {
            chat(exchange, WireFormat.decode(exchange.body(), JsonNode.class));
        } else if (exchange.path().startsWith("/v1/calls/")) {
            exchange.answer(200, "ran");
        } else if (exchange.method().equals("POST")) {
            executed.add(WireFormat.decode(exchange.body(), JsonNode.class)
                    .path("orderId")
                    .asText());
            exchange.dropConnection();
        } else {
            exchange.answer(200, "read");
        }
    }

    private void chat(StandInExchange exchange, JsonNode body) throws IOException {
        JsonNode messages = body.path("messages");
        ExpectedText text = ExpectedText.ofPrompt(
                messages.get(messages.size() - 1).path("content").asText());
        int tokens = body.path("max_tokens").asInt();
        boolean cut = chats.incrementAndGet() % 7 == 0;
        exchange.startStream("text/event-stream");
        for (int index = 0; index < tokens; index++) {
            send(exchange, "{\"choices\":[{\"delta\":{\"content\":\"" + text.token(index) + "\"}}]}", false);
        }
        if (cut) {
            cutChats.incrementAndGet();
            exchange.dropConnection();
        } else {
            send(exchange, "[DONE]", true);
        }
    }

    private static void send(StandInExchange exchange, String data, boolean last) throws IOException {
        exchange.streamPart(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8), last);
    }

    private LoadSummary run(String... arguments) throws IOException {
        Path accounts = folder.resolve("accounts.json");
        Path output = folder.resolve("summary.json");
        Files.writeString(accounts, ACCOUNTS);
        try (StandInServer server = StandInServer.start(0, Duration.ofSeconds(20), this::answer)) {
            entry = server;
            CommandLine command = new CommandLine(new LoadCommand());
            String[] all = new String[arguments.length + 6];
            System.arraycopy(arguments, 0, all, 6, arguments.length);
            all[0] = "--entry=127.0.0.1:" + server.address().getPort();
            all[1] = "--accounts=" + accounts;
            all[2] = "--output=" + output;
            all[3] = "--scale=0.02";
            all[4] = "--plain-share=0.3";
            all[5] = "--seed=4";
            assertEquals(0, command.execute(all));
        }
        return WireFormat.decode(Files.readAllBytes(output), LoadSummary.class);
    }

    private void assertSummaryMatchesEntry(LoadSummary summary) {
        assertTrue(summary.complete() > 0 && cutChats.get() > 0, "too few requests to check");
        assertEquals(0, summary.wrong() + summary.notConnected());
        assertEquals(cutChats.get() + summary.ordersWithoutAnswer(), summary.cut());
        assertEquals(executed.size(), summary.ordersWithoutAnswer());
        assertEquals(0, summary.ordersStillUnknown());
        assertEquals(summary.requests(), summary.complete() + summary.cut());
        assertTrue(summary.orders().stream().allMatch(order -> executed.contains(order.orderId())));
        assertEquals(1, addressAnswers.get(), "the addresses are kept for their time to live");
    }

    @Test
    void closedLoopCountsWhatTheEntryDid() throws Exception {
        assertSummaryMatchesEntry(run("--seconds=2", "--callers=4", "--deployment=SFAX"));
    }

    @Test
    void openLoopCountsWhatTheEntryDid() throws Exception {
        assertSummaryMatchesEntry(run("--seconds=2", "--rate=60"));
    }

    @Test
    void loadGoesToLoopbackOnly() throws Exception {
        Path accounts = folder.resolve("accounts.json");
        Files.writeString(accounts, ACCOUNTS);
        AtomicReference<String> message = new AtomicReference<>("");
        new CommandLine(new LoadCommand())
                .setExecutionExceptionHandler((failure, command, parsed) -> {
                    message.set(failure.getMessage());
                    return 1;
                })
                .execute("--entry=192.0.2.1:80", "--accounts=" + accounts);
        assertTrue(message.get().contains("not a loopback address"), message.get());
    }
}
