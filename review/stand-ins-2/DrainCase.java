import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A replica leaves after another writer has written entries with bytes that can't be read. Shows whether requests reach
 * the replica later than {@code drainMs} after the store has accepted that it is draining.
 */
final class DrainCase {

    private static final long DRAIN_MILLISECONDS = 2_000;

    private static final int VALUE_BYTES = 1_048_576;
    private static final int REQUESTS_OF_A_GATEWAY = 40;

    private final Record record;
    private final AtomicLong acceptedAt = new AtomicLong(Long.MAX_VALUE);
    private final AtomicInteger lateArrivals = new AtomicInteger();

    private DrainCase(Record record) {
        this.record = record;
    }

    /**
     * Arguments: the record, the entries of a write, the number of writes, the milliseconds from one to the next, and the
     * milliseconds of calm after the last one.
     */
    public static void main(String[] arguments) throws Exception {
        int exitCode;
        try (Record record = new Record(Path.of(arguments[0]))) {
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            int late = new DrainCase(record)
                    .run(
                            Integer.parseInt(arguments[1]),
                            trouble ? Integer.parseInt(arguments[2]) : 0,
                            Long.parseLong(arguments[3]),
                            Long.parseLong(arguments[4]));
            record.line("result: " + late + " requests reached the leaving replica later than drainMs");
            System.out.println(late + " requests reached the leaving replica later than drainMs");
            exitCode = late > 0 ? 1 : 0;
        } catch (CannotRunException | IOException failure) {
            System.out.println("the case can't run: " + failure);
            exitCode = 2;
        }
        System.exit(exitCode);
    }

    private int run(int entries, int writes, long pause, long calm)
            throws IOException, InterruptedException, CannotRunException {
        try (Deployment deployment = new Deployment(record)) {
            Store store = deployment.store;
            try (Replica leaving = new Replica(store, "i-1", "plain", record, (request, socket) -> {
                        if (System.nanoTime() - acceptedAt.get() > DRAIN_MILLISECONDS * 1_000_000) {
                            lateArrivals.incrementAndGet();
                            record.line("LATE: replica i-1 runs "
                                    + request.header("X-Attempt-Id").orElse("none"));
                        }
                        return answer(request, socket);
                    });
                    Replica staying = new Replica(store, "i-2", "plain", record, DrainCase::answer)) {
                leaving.register("ready", "");
                staying.register("ready", "");
                store.write(
                        "op/config",
                        new Manifest(1)
                                .route("/look/", "idempotent", 1500, 2, false, "plain")
                                .service("plain", "")
                                .toString());
                List<Deployment.Gateway> gateways = List.of(deployment.start("front-1"), deployment.start("front-2"));
                for (Deployment.Gateway gateway : gateways) {
                    gateway.awaitReady();
                }
                Thread.sleep(1_000);
                ask(gateways, "before", 5);
                for (int write = 0; write < writes; write++) {
                    store.writeTogether(unreadableEntries(entries, write));
                    record.line("another writer writes " + entries + " entries of " + VALUE_BYTES + " bytes");
                    Thread.sleep(pause);
                }
                Thread.sleep(calm);
                leaving.register("draining", "");
                acceptedAt.set(System.nanoTime());
                record.line("the store accepts that i-1 is draining");
                Thread.sleep(DRAIN_MILLISECONDS + 200);
                ask(gateways, "after", REQUESTS_OF_A_GATEWAY);
                for (Deployment.Gateway gateway : gateways) {
                    record.line(gateway.name() + " says that it is " + (gateway.isReady() ? "ready" : "not ready"));
                    gateway.log()
                            .lines()
                            .filter(line -> line.contains("OutOfMemoryError") || line.contains("dependency_lost"))
                            .limit(3)
                            .forEach(line -> record.line("log of " + gateway.name() + ": " + line));
                }
            }
        }
        return lateArrivals.get();
    }

    private static boolean answer(Message request, java.net.Socket socket) throws IOException, InterruptedException {
        Thread.sleep(10);
        Server.respond(socket, 200, Replica.headers(request), Replica.bytes("done"));
        return true;
    }

    private static Map<String, byte[]> unreadableEntries(int count, int write) {
        Map<String, byte[]> entries = new TreeMap<>();
        for (int index = 0; index < count; index++) {
            byte[] value = new byte[VALUE_BYTES];
            java.util.Arrays.fill(value, (byte) (128 + write % 100));
            entries.put("servers/other-" + index, value);
        }
        return entries;
    }

    private void ask(List<Deployment.Gateway> gateways, String name, int count)
            throws InterruptedException, CannotRunException {
        List<String> failures = new ArrayList<>();
        for (Deployment.Gateway gateway : gateways) {
            for (int index = 0; index < count; index++) {
                String attempt = name + "-" + gateway.name() + "-" + index;
                try (Caller caller = new Caller(gateway.callers())) {
                    record.line("client sends " + attempt + " to " + gateway.name());
                    caller.send("GET", "/look/" + attempt, attempt, 1500, "", "");
                    String status = caller.answer(3000)
                            .map(answer -> Integer.toString(answer.status()))
                            .orElse("closed");
                    record.line("client gets " + status + " for " + attempt);
                    if (!status.equals("200")) {
                        failures.add(attempt);
                    }
                } catch (IOException failure) {
                    record.line("client gets " + failure + " for " + attempt);
                    failures.add(attempt);
                }
                Thread.sleep(20);
            }
        }
        if (name.equals("before") && !failures.isEmpty()) {
            throw new CannotRunException("requests fail before the trouble: " + failures);
        }
    }
}
