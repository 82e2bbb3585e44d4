package io.banyantally.standins.demo;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Registers the processes in the VM directory, writes service templates and client accounts, and creates keys. */
@Command(name = "prepare", mixinStandardHelpOptions = true, description = "Prepares directory, configuration and keys.")
final class PrepareStep implements Callable<Integer> {

    private static final int OK = 200;
    private static final Duration READY_LIMIT = Duration.ofSeconds(60);
    private static final int ACCOUNTS = 8;

    /** Relative shares of the requests by client account; as at both sites, a few accounts send most of them. */
    private static final double[] REQUEST_SHARES = {8, 6, 2, 1, 1, 1, 0.5, 0.5};

    @Option(names = "--platform", required = true, description = "Address of the platform stand-in.")
    private String platform;

    @Option(names = "--entries", required = true, split = ",", description = "Addresses of the entry daemons.")
    private List<String> entries;

    @Option(names = "--token-file", required = true, description = "File that holds the operator's token.")
    private Path tokenFile;

    @Option(names = "--directory", required = true, description = "Lines of id, kind, zone, service and address.")
    private Path directory;

    @Option(names = "--accounts", required = true, description = "File to write the accounts and keys to.")
    private Path accountsFile;

    @Override
    public Integer call() throws IOException, DemoFailedException, InterruptedException {
        String token = Files.readString(tokenFile).trim();
        try (DemoClient client = new DemoClient()) {
            for (String line : Files.readAllLines(directory)) {
                client.send("POST", platform, "/directory", "", directoryEntry(line))
                        .expect(OK, "directory");
            }
            OperatorClient operator = new OperatorClient(client, entries.getFirst(), token);
            awaitReady(client, entries);
            operator.put("services", "asistente", modelTemplate());
            operator.put("services", "reservas", plainTemplate());
            writeAccounts(operator);
            awaitReady(client, entries);
        }
        return 0;
    }

    private static ObjectNode directoryEntry(String line) {
        String[] fields = line.split(" ", -1);
        ObjectNode entry = DemoClient.MAPPER
                .createObjectNode()
                .put("id", fields[0])
                .put("kind", fields[1])
                .put("zone", fields[2])
                .put("address", fields[4])
                .put("state", "LIVE")
                .put("cheap", false);
        if (fields[3].equals("-")) {
            entry.putNull("service");
        } else {
            entry.put("service", fields[3]);
        }
        return entry;
    }

    private static ObjectNode modelTemplate() {
        ObjectNode template =
                DemoClient.MAPPER.createObjectNode().put("service", "asistente").put("kind", "MODEL");
        template.putArray("models").add("asistente");
        template.putArray("adapters");
        template.putArray("routes");
        return template.put("minimumReplicas", 6).put("maximumReplicas", 8).put("openRequestsPerSecond", 0);
    }

    private static ObjectNode plainTemplate() {
        ObjectNode template =
                DemoClient.MAPPER.createObjectNode().put("service", "reservas").put("kind", "PLAIN");
        template.putArray("models");
        template.putArray("adapters");
        template.putArray("routes")
                .addObject()
                .put("pathPrefix", "/open")
                .put("open", true)
                .put("repeatable", false);
        return template.put("minimumReplicas", 3).put("maximumReplicas", 3).put("openRequestsPerSecond", 100);
    }

    private void writeAccounts(OperatorClient operator) throws DemoFailedException, IOException {
        ArrayNode accounts = DemoClient.MAPPER.createArrayNode();
        for (int number = 1; number <= ACCOUNTS; number++) {
            String name = "account-" + number;
            ObjectNode parameters = DemoClient.MAPPER.createObjectNode().put("account", name);
            parameters.putArray("models").add("asistente");
            parameters.putArray("adapters");
            parameters.putArray("services").add("reservas");
            parameters
                    .put("priority", 0)
                    .put("weight", 1.0)
                    .put("requestsPerSecond", 1_000.0)
                    .put("tokensPerSecond", 1e6)
                    .put("concurrentRequests", 500);
            operator.put("accounts", name, parameters);
            accounts.addObject()
                    .put("account", name)
                    .put("key", operator.createKey(name))
                    .put("share", REQUEST_SHARES[number - 1]);
        }
        Files.writeString(accountsFile, accounts.toString());
    }

    private static void awaitReady(DemoClient client, List<String> entries)
            throws DemoFailedException, InterruptedException {
        long deadlineNanos = System.nanoTime() + READY_LIMIT.toNanos();
        for (String entry : entries) {
            while (client.get(entry, "/readyz", "").status() != OK) {
                if (System.nanoTime() > deadlineNanos) {
                    throw new DemoFailedException(entry + " is not ready after " + READY_LIMIT.toSeconds() + " s");
                }
                Thread.sleep(50);
            }
        }
    }
}
