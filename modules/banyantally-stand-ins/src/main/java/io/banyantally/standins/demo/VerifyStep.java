package io.banyantally.standins.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Compares the results of callers with the reports of engines, services and platform, and prints the checks. */
@Command(name = "verify", mixinStandardHelpOptions = true, description = "Checks the result of the demo.")
final class VerifyStep implements Callable<Integer> {

    private static final int OK = 200;
    private static final Duration BILLING_LIMIT = Duration.ofSeconds(90);
    private static final double WITHDRAWAL_LIMIT_MILLIS = 2_000;

    @Option(names = "--platform", required = true, description = "Address of the platform stand-in.")
    private String platform;

    @Option(names = "--engines", required = true, split = ",", description = "Addresses of the engines.")
    private List<String> engines;

    @Option(names = "--services", required = true, split = ",", description = "Addresses of the plain services.")
    private List<String> services;

    @Option(names = "--entries", required = true, split = ",", description = "Addresses of the entry daemons.")
    private List<String> entries;

    @Option(names = "--load", required = true, description = "Summary of the load tool.")
    private Path loadFile;

    @Option(names = "--withdrawal", required = true, description = "Result of the withdrawal.")
    private Path withdrawalFile;

    @Option(names = "--accounts", required = true, description = "The accounts file.")
    private Path accountsFile;

    @Option(names = "--drain-exit-code", required = true, description = "Exit code of the drained daemon.")
    private int drainExitCode;

    @Option(names = "--logs", required = true, description = "Folder with the output of all processes.")
    private Path logs;

    private final CheckTable checks = new CheckTable();

    @Override
    public Integer call() throws IOException, DemoFailedException, InterruptedException {
        JsonNode load = DemoClient.MAPPER.readTree(loadFile.toFile());
        JsonNode withdrawal = DemoClient.MAPPER.readTree(withdrawalFile.toFile());
        try (DemoClient client = new DemoClient()) {
            checkAnswers(load);
            checkWithdrawal(withdrawal);
            checks.add("drained daemon ends with exit code 0", drainExitCode == 0, "exit code " + drainExitCode);
            checkOrders(client, load);
            checkBilling(client, load);
            checkKeys(client);
            checkViolations(client);
        }
        checks.print(System.out);
        return checks.allPassed() ? 0 : 1;
    }

    private void checkAnswers(JsonNode load) {
        long complete = load.get("complete").asLong();
        checks.add(
                "requests are served",
                complete > 0,
                complete + " of " + load.get("requests").asLong());
        checks.add(
                "no answer is wrong",
                load.get("wrong").asLong() == 0,
                load.get("wrong").asLong() + " wrong");
        // Only requests on connections to the killed daemon may be cut; at most 24 callers used it at once.
        long cut = load.get("cut").asLong();
        checks.add("only the kill cuts requests", cut <= 24, cut + " cut");
    }

    private void checkWithdrawal(JsonNode withdrawal) {
        double millis = withdrawal.get("millisUntilRefusedEverywhere").asDouble();
        checks.add(
                "withdrawn key is refused everywhere in 2 s",
                withdrawal.get("status").asInt() == OK && millis <= WITHDRAWAL_LIMIT_MILLIS,
                String.format("%.0f ms after it was accepted", millis));
    }

    private void checkOrders(DemoClient client, JsonNode load) throws DemoFailedException {
        Map<String, Long> executions = new HashMap<>();
        for (String service : services) {
            for (JsonNode order : client.get(service, "/control/report", "")
                    .expect(OK, service)
                    .body()
                    .get("orders")) {
                executions.merge(
                        order.get("orderId").asText(), order.get("executions").asLong(), Long::sum);
            }
        }
        long repeated = executions.values().stream().filter(count -> count > 1).count();
        checks.add("no order runs twice", repeated == 0, repeated + " of " + executions.size() + " ran twice");
        long falseClaims = 0;
        for (JsonNode order : load.get("orders")) {
            long count = executions.getOrDefault(order.get("orderId").asText(), 0L);
            String claim = order.get("claim").asText();
            if ((claim.equals("RAN") && count != 1) || (claim.equals("NOT_RUN") && count != 0)) {
                falseClaims++;
            }
        }
        checks.add(
                "answers about orders are true",
                falseClaims == 0,
                falseClaims + " false of " + load.get("orders").size());
    }

    private void checkBilling(DemoClient client, JsonNode load) throws DemoFailedException, InterruptedException {
        long delivered = load.get("tokens").asLong();
        long billed = 0;
        long deadlineNanos = System.nanoTime() + BILLING_LIMIT.toNanos();
        while (billed < delivered && System.nanoTime() < deadlineNanos) {
            billed = billedTokens(client);
            Thread.sleep(500);
        }
        // A kill can bill chunks that were recorded but not yet written to their caller: at most one for each stream.
        checks.add(
                "billed tokens match delivered tokens",
                billed >= delivered && billed <= delivered + 24 * 32,
                billed + " billed, " + delivered + " delivered");
    }

    private long billedTokens(DemoClient client) throws DemoFailedException {
        long tokens = 0;
        for (JsonNode usage : client.get(platform, "/control/report", "")
                .expect(OK, "platform")
                .body()
                .get("usage")) {
            if (usage.get("accepted").asBoolean() && !usage.get("repeated").asBoolean()) {
                tokens += usage.get("report").get("figures").get("outputTokens").asLong();
            }
        }
        return tokens;
    }

    private void checkKeys(DemoClient client) throws DemoFailedException, IOException {
        List<String> secrets = new ArrayList<>();
        for (JsonNode account : DemoClient.MAPPER.readTree(accountsFile.toFile())) {
            secrets.add(account.get("key").textValue().split("_", -1)[2]);
        }
        int leakedToUpstreams = 0;
        for (String upstream :
                Stream.concat(engines.stream(), services.stream()).toList()) {
            String report = client.get(upstream, "/control/report", "").body().toString();
            leakedToUpstreams += (int) secrets.stream().filter(report::contains).count();
        }
        checks.add("no upstream received a key", leakedToUpstreams == 0, leakedToUpstreams + " keys received");
        int leakedToLogs = 0;
        try (Stream<Path> files = Files.list(logs)) {
            for (Path file : files.filter(VerifyStep::isOutput).toList()) {
                String text = Files.readString(file);
                leakedToLogs += (int) secrets.stream().filter(text::contains).count();
            }
        }
        checks.add("no key is in a log", leakedToLogs == 0, leakedToLogs + " keys logged");
    }

    private static boolean isOutput(Path file) {
        String name = file.getFileName().toString();
        return name.endsWith(".log") || name.endsWith(".out");
    }

    private void checkViolations(DemoClient client) throws DemoFailedException {
        long violations = 0;
        for (String entry : entries) {
            try {
                JsonNode counters = client.get(entry, "/metrics", "").body().path("counters");
                for (Map.Entry<String, JsonNode> counter : counters.properties()) {
                    if (counter.getKey().startsWith("invariant.violations.")) {
                        violations += counter.getValue().get("count").asLong();
                    }
                }
            } catch (DemoFailedException unreachable) {
                // Two daemons are expected to be unreachable: one was killed, one drained.
            }
        }
        int platformViolations = client.get(platform, "/control/report", "")
                .body()
                .get("violations")
                .size();
        checks.add(
                "no invariant was violated",
                violations == 0 && platformViolations == 0,
                violations + " counted by the daemons, " + platformViolations + " reported by the platform");
    }
}
