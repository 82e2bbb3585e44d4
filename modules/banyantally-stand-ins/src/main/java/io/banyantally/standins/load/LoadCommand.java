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

    /** Exit status of a run in which an answer was not the right one. */
    private static final int WRONG_ANSWERS = 3;

    private static final Duration LONGEST_SILENCE = Duration.ofSeconds(60);

    @Option(
            names = "--entry",
            required = true,
            split = ",",
            description = "Addresses to ask for /v1/addresses, host:port; the load goes where the answer says.")
    private List<String> entries;

    @Option(names = "--accounts", required = true, description = "JSON file: [{\"account\", \"key\", \"share\"}].")
    private Path accountsFile;

    @Option(names = "--deployment", defaultValue = "QUITO", description = "${COMPLETION-CANDIDATES}")
    private Deployment deployment;

    @Option(names = "--callers", defaultValue = "16", description = "Callers of the closed loop.")
    private int callers;

    @Option(names = "--rate", description = "Mean requests a second; makes the loop open.")
    private Optional<Double> rate;

    @Option(names = "--seconds", defaultValue = "60", description = "How long requests are sent.")
    private int seconds;

    @Option(names = "--swing-seconds", defaultValue = "60", description = "Period of the prompt-to-output mix.")
    private double swingSeconds;

    @Option(names = "--plain-share", defaultValue = "0.2", description = "Part of the requests for the plain service.")
    private double plainShare;

    @Option(names = "--scale", defaultValue = "1.0", description = "Factor on the length of documents.")
    private double scale;

    @Option(names = "--model", description = "Model to name instead of the deployment's.")
    private Optional<String> model;

    @Option(
            names = "--repeat-orders",
            defaultValue = "0",
            description = "Part of the orders that is sent a second time with the same idempotency key.")
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
            AddressBook book = new AddressBook(client, addresses(), zone.map(AvailabilityZone::new));
            LoadRunner runner = new LoadRunner(
                    new RequestPlanner(
                            deployment.traffic(),
                            accounts,
                            new MixSwing(swingSeconds),
                            plainShare,
                            scale,
                            repeatOrders,
                            seed),
                    book,
                    new ChatCaller(
                            client, model.orElse(deployment.traffic().model()), LONGEST_SILENCE, deadlineSeconds),
                    new PlainCaller(client, LONGEST_SILENCE),
                    totals,
                    Duration.ofSeconds(seconds));
            double taken = rate.isPresent() ? runner.runOpen(rate.get()) : runner.runClosed(callers);
            List<OrderClaim> claims = new OutcomeQuestions(client, book, accounts).ask(totals.orderClaims());
            summary = totals.summary(deployment, seed, taken, claims);
        }
        System.out.print(SummaryTable.of(summary));
        if (output.isPresent()) {
            Files.write(output.get(), WireFormat.encode(summary));
        }
        return summary.wrong() == 0 ? 0 : WRONG_ANSWERS;
    }

    private List<InetSocketAddress> addresses() throws IOException {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (String entry : entries) {
            InetSocketAddress address = AddressBook.parse(entry);
            if (!address.getAddress().isLoopbackAddress()) {
                throw new IOException("address " + entry + " is not a loopback address; load goes to loopback only");
            }
            addresses.add(address);
        }
        return addresses;
    }
}
