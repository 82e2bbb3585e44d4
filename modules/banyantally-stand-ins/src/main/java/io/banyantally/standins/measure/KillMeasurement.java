package io.banyantally.standins.measure;

import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.usage.UsageBuckets;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ClientAccountId;
import io.banyantally.platform.UsageFigures;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.LongAdder;

/** Kills serving VMs at seeded moments and compares what their callers got with what is reported afterwards. */
final class KillMeasurement {
    private static final int KILLS = 400;
    private static final int KILLS_AT_ONCE = 40;
    private static final int STREAMS = 100;
    private static final int LARGEST_CHUNK = 4;
    private static final int LONGEST_CHUNK_INTERVAL_MILLIS = 32;
    private static final Duration ONE_WAY = Duration.ofNanos(1_500_000);
    private static final ClientAccountId ACCOUNT = new ClientAccountId("client-account-1");

    private final PrintStream out;
    private final long seed;

    KillMeasurement(PrintStream out, long seed) {
        this.out = out;
        this.seed = seed;
    }

    void run() throws InterruptedException, ExecutionException {
        LongSummaryStatistics lost = new LongSummaryStatistics();
        LongSummaryStatistics excess = new LongSummaryStatistics();
        LongAdder delivered = new LongAdder();
        for (int first = 0; first < KILLS; first += KILLS_AT_ONCE) {
            try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
                List<Future<Comparison>> results = new ArrayList<>();
                for (int i = first; i < first + KILLS_AT_ONCE; i++) {
                    long killSeed = seed + i;
                    results.add(executor.submit(() -> killOnce(new Random(killSeed))));
                }
                for (Future<Comparison> result : results) {
                    Comparison comparison = result.get();
                    delivered.add(comparison.delivered());
                    lost.accept(Math.max(0, comparison.delivered() - comparison.reported()));
                    excess.accept(Math.max(0, comparison.reported() - comparison.delivered()));
                }
            }
        }
        out.printf(
                "kills: seed=%d kills=%d streams=%d delivered=%d lostTotal=%d lostMax=%d excessMean=%.2f excessMax=%d%n",
                seed,
                KILLS,
                STREAMS,
                delivered.sum(),
                lost.getSum(),
                lost.getMax(),
                excess.getAverage(),
                excess.getMax());
    }

    private record Comparison(long delivered, long reported) {}

    private static Comparison killOnce(Random random) throws InterruptedException {
        DelayedNetwork hub = new DelayedNetwork(ONE_WAY);
        CountingStore store = new CountingStore(MonotonicClock.SYSTEM);
        // One second of the measurement is two minutes of the owner's clock, so a window ends with every pass.
        MonotonicClock fast = () -> System.nanoTime() * 120;
        List<AvailabilityZone> zones =
                List.of(new AvailabilityZone("zone-0"), new AvailabilityZone("zone-1"), new AvailabilityZone("zone-2"));
        List<UsageNode> nodes = new ArrayList<>();
        for (int i = 0; i < zones.size(); i++) {
            nodes.add(new UsageNode(hub, i, zones.get(i), Set.copyOf(zones), store, fast));
        }
        LongAdder reported = new LongAdder();
        Thread owner = nodes.get(1)
                .startSealing(
                        UsageBuckets.of(ACCOUNT),
                        (report, number) -> reported.add(report.figures().outputTokens()));
        UsageNode serving = nodes.getFirst();
        AtomicBoolean killed = new AtomicBoolean();
        LongAdder delivered = new LongAdder();
        List<Thread> streams = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            long streamSeed = random.nextLong();
            streams.add(Thread.ofVirtual().start(() -> stream(serving, new Random(streamSeed), killed, delivered)));
        }
        Thread.sleep(100 + random.nextInt(500));
        synchronized (killed) {
            killed.set(true);
            hub.remove(serving.self.vm());
        }
        serving.stop();
        streams.forEach(Thread::interrupt);
        // Two passes that began after the kill.
        Thread.sleep(4_000);
        owner.interrupt();
        nodes.forEach(UsageNode::stop);
        return new Comparison(delivered.sum(), reported.sum());
    }

    private static void stream(UsageNode node, Random random, AtomicBoolean killed, LongAdder delivered) {
        try {
            while (true) {
                int tokens = 1 + random.nextInt(LARGEST_CHUNK);
                node.replicator.recordBeforeDelivery(ACCOUNT, new UsageFigures(0, tokens, 0));
                synchronized (killed) {
                    if (killed.get()) {
                        return;
                    }
                    delivered.add(tokens);
                }
                Thread.sleep(random.nextInt(LONGEST_CHUNK_INTERVAL_MILLIS));
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }
}
