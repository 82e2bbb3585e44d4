package io.banyantally.standins.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.banyantally.standins.demo.DemoClient.Answer;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Withdraws the key of the last client account and measures the time until every entry daemon refuses it. */
@Command(name = "withdraw", mixinStandardHelpOptions = true, description = "Withdraws a key and checks every daemon.")
final class WithdrawStep implements Callable<Integer> {

    private static final int UNAUTHORIZED = 401;
    private static final Duration REFUSAL_LIMIT = Duration.ofSeconds(10);
    private static final double NANOS_PER_MILLI = 1e6;

    @Option(names = "--entries", required = true, split = ",", description = "Addresses of the entry daemons.")
    private List<String> entries;

    @Option(names = "--token-file", required = true, description = "File that holds the operator's token.")
    private Path tokenFile;

    @Option(names = "--accounts", required = true, description = "The accounts file.")
    private Path accountsFile;

    @Option(names = "--result", required = true, description = "File to write the result to.")
    private Path resultFile;

    @Override
    public Integer call() throws IOException, DemoFailedException, InterruptedException {
        JsonNode accounts = DemoClient.MAPPER.readTree(accountsFile.toFile());
        String key = accounts.get(accounts.size() - 1).get("key").textValue();
        String keyId = key.split("_", -1)[1];
        try (DemoClient client = new DemoClient()) {
            OperatorClient operator = new OperatorClient(
                    client, entries.getFirst(), Files.readString(tokenFile).trim());
            Answer answer = operator.withdraw(keyId);
            long acceptedAt = System.nanoTime();
            double slowestMillis = 0;
            for (String entry : entries) {
                slowestMillis = Math.max(slowestMillis, awaitRefusal(client, entry, key, acceptedAt));
            }
            ObjectNode result = DemoClient.MAPPER.createObjectNode();
            result.set("answer", answer.body());
            result.put("status", answer.status()).put("millisUntilRefusedEverywhere", slowestMillis);
            Files.writeString(resultFile, result.toString());
        }
        return 0;
    }

    private static double awaitRefusal(DemoClient client, String entry, String key, long acceptedAt)
            throws DemoFailedException, InterruptedException {
        while (client.get(entry, "/v1/models", key).status() != UNAUTHORIZED) {
            if (System.nanoTime() - acceptedAt > REFUSAL_LIMIT.toNanos()) {
                throw new DemoFailedException(
                        entry + " still accepts a withdrawn key after " + REFUSAL_LIMIT.toSeconds() + " s");
            }
            Thread.sleep(10);
        }
        return (System.nanoTime() - acceptedAt) / NANOS_PER_MILLI;
    }
}
