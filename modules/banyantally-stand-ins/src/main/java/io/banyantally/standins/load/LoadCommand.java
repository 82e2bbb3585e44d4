package io.banyantally.standins.load;

import io.banyantally.internal.adapter.AdapterHttpClient;
import io.banyantally.internal.adapter.WireFormat;
import io.banyantally.model.AvailabilityZone;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the load tool. */
@Command(
        name = "load",
        mixinStandardHelpOptions = true,
        description = "Sends load to entry addresses, verifies every answer, prints a table and writes a summary.")
public final class LoadCommand implements Callable<Integer> {

    /** Exit status of a run with a wrong answer. */
    private static final int WRONG_ANSWERS_STATUS = 3;

    /** Limit of a call; for a chat, of the time between two reads. */
    private static final Duration TIME_LIMIT = Duration.ofSeconds(60);

    @Option(
            names = "--entry",
            required = true,
            split = ",",
            description =
                    "Addresses to query for /v1/addresses, host:port; the load goes to the addresses in the answer.")
    private List<String> entries;

    @Option(names = "--accounts", required = true, description = "JSON file: [{\"account\", \"key\", \"share\"}].")
    private Path accountsFile;

    @Option(names = "--deployment", defaultValue = "QUITO", description = "${COMPLETION-CANDIDATES}")
    private Deployment deployment;

    @Option(names = "--callers", defaultValue = "16", description = "Number of callers of the closed loop.")
    private int callers;

    @Option(names = "--rate", description = "Mean requests per second; makes the loop open.")
    private Optional<Double> rate;

    @Option(names = "--seconds", defaultValue = "60", description = "How long requests are sent.")
    private int seconds;

    @Option(names = "--swing-seconds", defaultValue = "60", description = "Period of the prompt-to-output mix.")
    private double swingSeconds;

    @Option(names = "--plain-share", defaultValue = "0.2", description = "Share of the requests for the plain service.")
    private double plainShare;

    @Option(
            names = "--scale",
            defaultValue = "1.0",
            description = "Factor on the length of documents; answers scale with its square root.")
    private double scale;

    @Option(names = "--model", description = "Model of the chats instead of the deployment's.")
    private Optional<String> model;

    @Option(
            names = "--repeat-orders",
            defaultValue = "0",
            description = "Share of the orders that are sent a second time with the same idempotency key.")
    private double repeatOrders;

    @Option(names = "--deadline-seconds", description = "Deadline that chats state in Request-Timeout.")
    private Optional<Integer> deadlineSeconds;

    @Option(names = "--zone", description = "Availability zone of the callers; its addresses come first.")
    private Optional<String> zone;

    @Option(names = "--seed", defaultValue = "1", description = "Seed of the requests.")
    private long seed;

    @Option(names = "--output", description = "File for the JSON summary.")
    private Optional<Path> output;

    @Override
    public Integer call() throws Exception {
        List<LoadAccount> accounts = WireFormat.decodeList(Files.readAllBytes(accountsFile), LoadAccount.class);
        if (accounts.isEmpty()) {
            throw new IOException("accounts file " + accountsFile + " lists no account");
        }
        LoadTotals totals = new LoadTotals(accounts);
        LoadSummary summary;
        try (AdapterHttpClient client = AdapterHttpClient.start()) {
            EntryAddressPool addressPool = new EntryAddressPool(client, addresses(), zone.map(AvailabilityZone::new));
            LoadRunner runner = new LoadRunner(
                    new RequestPlanner(
                            deployment.traffic(),
                            accounts,
                            new LoadPattern(swingSeconds),
                            plainShare,
                            scale,
                            repeatOrders,
                            seed),
                    addressPool,
                    new ChatCaller(client, model.orElse(deployment.traffic().model()), TIME_LIMIT, deadlineSeconds),
                    new PlainCaller(client, TIME_LIMIT),
                    totals,
                    Duration.ofSeconds(seconds));
            double elapsedSeconds = rate.isPresent() ? runner.runOpen(rate.get()) : runner.runClosed(callers);
            List<OrderClaim> claims = new OrderOutcomeQuery(client, addressPool, accounts).query(totals.orderClaims());
            summary = totals.summary(deployment, seed, elapsedSeconds, claims);
        }
        System.out.print(SummaryTable.of(summary));
        if (output.isPresent()) {
            Files.write(output.get(), WireFormat.encode(summary));
        }
        return summary.wrong() == 0 ? 0 : WRONG_ANSWERS_STATUS;
    }

    private List<InetSocketAddress> addresses() throws IOException {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (String entry : entries) {
            InetSocketAddress address = EntryAddressPool.parse(entry);
            if (!address.getAddress().isLoopbackAddress()) {
                throw new IOException("address " + entry + " is not a loopback address; load goes to loopback only");
            }
            addresses.add(address);
        }
        return addresses;
    }
}
