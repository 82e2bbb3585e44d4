package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Replicas leave one after the other without reporting {@code draining}: their entries are removed and they go on
 * serving. With trouble, the store also cuts the watches that wait at that moment. The rule is broken if a request
 * reaches a replica later than {@code drainMs} after the store removed its entry.
 */
final class LateRemoval {

    private static final int GATEWAYS = 4;
    private static final int REPLICAS_THAT_STAY = 3;
    private static final int REPLICAS_THAT_LEAVE = 12;
    private static final int CALLERS_OF_EACH_GATEWAY = 4;
    private static final int SLOTS = 6;
    private static final long WORK_MILLIS = 20;
    private static final long DRAIN_NANOS = 2_000_000_000L;

    /** More than {@code stabilityMs}, so that each removal is a quiet one by itself. */
    private static final long PAUSE_MILLIS = 5_000;

    private LateRemoval() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        System.exit(Script.run(arguments, (folder, record, started) -> run(trouble, folder, record, started)));
    }

    private static boolean run(boolean trouble, Path folder, Record record, List<AutoCloseable> started)
            throws Exception {
        PlatformStandIn platform = new PlatformStandIn(record);
        started.add(platform);
        platform.write(Manifest.KEY, Manifest.of(1, "first", 1500));
        List<ReplicaStandIn> replicas = new ArrayList<>();
        for (int number = 0; number < REPLICAS_THAT_STAY + REPLICAS_THAT_LEAVE; number++) {
            ReplicaStandIn replica = new ReplicaStandIn("i-" + number, "first", SLOTS, WORK_MILLIS, record);
            started.add(replica);
            replicas.add(replica);
            platform.write(replica.key(), replica.entry("ready"));
        }
        List<GatewayProcess> gateways = new ArrayList<>();
        for (int number = 0; number < GATEWAYS; number++) {
            GatewayProcess gateway = new GatewayProcess("front-a-" + number, folder, platform.address());
            started.add(gateway);
            gateways.add(gateway);
        }
        for (GatewayProcess gateway : gateways) {
            gateway.awaitReady();
        }
        Thread.sleep(PAUSE_MILLIS);
        AtomicBoolean ended = new AtomicBoolean();
        List<Departure> departures = new ArrayList<>();
        try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<?>> running = new ArrayList<>();
            for (GatewayProcess gateway : gateways) {
                for (int number = 0; number < CALLERS_OF_EACH_GATEWAY; number++) {
                    running.add(callers.submit(() -> call(gateway, record, ended)));
                }
            }
            for (ReplicaStandIn leaving : replicas.subList(REPLICAS_THAT_STAY, replicas.size())) {
                record.write("store: the entry of %s is removed%s", leaving.id(), trouble ? ", watches are cut" : "");
                long removedAt = trouble ? platform.removeAndCutWatches(leaving.key()) : platform.remove(leaving.key());
                departures.add(new Departure(leaving, removedAt));
                Thread.sleep(PAUSE_MILLIS + ThreadLocalRandom.current().nextLong(200));
            }
            ended.set(true);
            for (Future<?> caller : running) {
                caller.get();
            }
        }
        return judge(departures, record);
    }

    private static void call(GatewayProcess gateway, Record record, AtomicBoolean ended) {
        Caller caller = new Caller(record);
        boolean order = true;
        while (!ended.get()) {
            caller.send(
                    gateway.callersPort(),
                    order ? "POST" : "GET",
                    order ? "/order/1" : "/look/1",
                    Caller.newAttempt(),
                    new byte[order ? 600 : 0],
                    1500);
            order = !order;
        }
    }

    private static boolean judge(List<Departure> departures, Record record) {
        int late = 0;
        for (Departure departure : departures) {
            List<ReplicaStandIn.Arrival> after = departure.replica().arrivals().stream()
                    .filter(arrival -> arrival.at() - departure.removedAt() > DRAIN_NANOS)
                    .toList();
            long last = departure.replica().arrivals().stream()
                    .mapToLong(arrival -> arrival.at() - departure.removedAt())
                    .max()
                    .orElse(0);
            record.print(
                    "%s: last request %d ms after its entry was removed, %d later than 2000 ms",
                    departure.replica().id(), last / 1_000_000, after.size());
            late += after.size();
        }
        record.print("DRAIN %s: %d requests reached a replica too late", late > 0 ? "broken" : "held", late);
        return late > 0;
    }

    private record Departure(ReplicaStandIn replica, long removedAt) {}
}
