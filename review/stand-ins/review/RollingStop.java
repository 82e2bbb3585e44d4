package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients send requests on kept connections. With trouble, the gateways are stopped with SIGTERM in turn. The rule is
 * broken if a gateway that is stopped has read a whole request and closes its connection without an answer, more than
 * {@code lossSlackMs} after the last byte was sent and before the client's time limit.
 */
final class RollingStop {

    private static final int GATEWAYS = 4;
    private static final int CALLERS_OF_EACH_GATEWAY = 64;
    private static final int REPLICAS = 4;

    /** Three of four requests are for a service whose replicas have not started yet, which gets them refused. */
    private static final List<String> PATHS = List.of("/look/1", "/soon/1", "/soon/2", "/soon/3");

    private static final int SLOTS = 200;
    private static final int TIME_LIMIT_MILLIS = 15_000;
    private static final long LOSS_SLACK_MILLIS = 200;
    private static final long STABILITY_MILLIS = 3_000;

    /** From the start of the load to the first signal. */
    private static final long CALM_MILLIS = 8_000;

    /** {@code graceS} and a second, so that one gateway is stopped at a time. */
    private static final long GAP_MILLIS = 9_000;

    private RollingStop() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        System.exit(Script.run(arguments, (folder, record, started) -> run(trouble, folder, record, started)));
    }

    private static boolean run(boolean trouble, Path folder, Record record, List<AutoCloseable> started)
            throws Exception {
        PlatformStandIn platform = new PlatformStandIn(record);
        started.add(platform);
        platform.write(Manifest.KEY, Manifest.of(1, "first", TIME_LIMIT_MILLIS));
        List<ReplicaStandIn> replicas = new ArrayList<>();
        for (int number = 0; number < REPLICAS; number++) {
            ReplicaStandIn replica = new ReplicaStandIn("i-" + number, "first", SLOTS, 0, record, false);
            started.add(replica);
            replicas.add(replica);
            platform.write(replica.key(), replica.entry("ready"));
        }
        List<StoppedGateway> gateways = new ArrayList<>();
        try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int number = 0; number < GATEWAYS; number++) {
                GatewayProcess gateway = new GatewayProcess("front-a-" + number, folder, platform.address());
                started.add(gateway);
                gateways.add(new StoppedGateway(gateway, new Load(), new ArrayList<>(), new AtomicLong()));
            }
            for (StoppedGateway gateway : gateways) {
                gateway.process().awaitReady();
            }
            Thread.sleep(STABILITY_MILLIS);
            for (StoppedGateway gateway : gateways) {
                for (int number = 0; number < CALLERS_OF_EACH_GATEWAY; number++) {
                    gateway.callers()
                            .add(callers.submit(new KeptConnectionCaller(
                                    gateway.process().callersPort(), PATHS, TIME_LIMIT_MILLIS, gateway.load())));
                }
            }
            Thread.sleep(CALM_MILLIS);
            for (StoppedGateway gateway : gateways) {
                if (trouble) {
                    record.write("platform: SIGTERM to %s", gateway.process().name());
                    gateway.signalledAt().set(System.nanoTime());
                    gateway.process().signal("TERM");
                }
                Thread.sleep(GAP_MILLIS);
                record.write("clients of %s: %s", gateway.process().name(), gateway.load());
            }
            gateways.forEach(gateway -> gateway.load().end());
            boolean broken = judge(gateways, record);
            for (ReplicaStandIn replica : replicas) {
                record.write("replica %s: has run %d requests", replica.id(), replica.runs());
            }
            return broken;
        }
    }

    private static boolean judge(List<StoppedGateway> gateways, Record record) throws Exception {
        int lost = 0;
        for (StoppedGateway gateway : gateways) {
            for (Future<Optional<KeptConnectionCaller.Unanswered>> caller : gateway.callers()) {
                Optional<KeptConnectionCaller.Unanswered> unanswered = caller.get();
                if (unanswered.isEmpty()) {
                    continue;
                }
                KeptConnectionCaller.Unanswered request = unanswered.get();
                boolean counts =
                        request.end() == KeptConnectionCaller.End.CLOSED && request.waitedMillis() > LOSS_SLACK_MILLIS;
                String line = String.format(
                        Locale.ROOT,
                        "%s: request %s for %s got no answer, after %d ms: %s",
                        gateway.process().name(),
                        request.attempt(),
                        request.path(),
                        request.waitedMillis(),
                        request.end());
                if (counts) {
                    lost++;
                    record.print(
                            "%s, LOST; sent %d ms after SIGTERM",
                            line, (request.sentAt() - gateway.signalledAt().get()) / 1_000_000);
                } else {
                    record.write("%s", line);
                }
            }
            record.print("%s: %s", gateway.process().name(), gateway.load());
        }
        record.print("LOST %s: %d requests were read and lost", lost > 0 ? "broken" : "held", lost);
        return lost > 0;
    }

    /**
     * A gateway with its callers.
     *
     * @param signalledAt the monotonic time of SIGTERM in nanoseconds; 0 without it
     */
    private record StoppedGateway(
            GatewayProcess process,
            Load load,
            List<Future<Optional<KeptConnectionCaller.Unanswered>>> callers,
            AtomicLong signalledAt) {}
}
