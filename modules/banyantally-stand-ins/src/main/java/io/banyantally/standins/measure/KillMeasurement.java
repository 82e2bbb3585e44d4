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

/** Kills serving VMs at seeded times and compares the tokens that callers received with the reported usage. */
final class KillMeasurement {
    private static final int KILLS = 400;
    private static final int CONCURRENT_KILLS = 40;
    private static final int STREAMS = 100;
    private static final int MAXIMUM_CHUNK_TOKENS = 4;
    private static final int MAXIMUM_CHUNK_INTERVAL_MILLIS = 32;
    private static final Duration ONE_WAY_LATENCY = Duration.ofNanos(1_500_000);
    private static final ClientAccountId ACCOUNT = new ClientAccountId("client-account-1");

    private final PrintStream out;
    private final long seed;

    KillMeasurement(PrintStream out, long seed) {
        this.out = out;
        this.seed = seed;
    }

    void run() throws InterruptedException, ExecutionException {
        LongSummaryStatistics lostTokens = new LongSummaryStatistics();
        LongSummaryStatistics excessTokens = new LongSummaryStatistics();
        LongAdder delivered = new LongAdder();
        for (int first = 0; first < KILLS; first += CONCURRENT_KILLS) {
            try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
                List<Future<Comparison>> results = new ArrayList<>();
                for (int i = first; i < first + CONCURRENT_KILLS; i++) {
                    long killSeed = seed + i;
                    results.add(executor.submit(() -> killOnce(new Random(killSeed))));
                }
                for (Future<Comparison> result : results) {
                    Comparison comparison = result.get();
                    delivered.add(comparison.delivered());
                    lostTokens.accept(Math.max(0, comparison.delivered() - comparison.reported()));
                    excessTokens.accept(Math.max(0, comparison.reported() - comparison.delivered()));
                }
            }
        }
        out.printf(
                "kills: seed=%d kills=%d streams=%d delivered=%d lostTotal=%d lostMax=%d excessMean=%.2f excessMax=%d%n",
                seed,
                KILLS,
                STREAMS,
                delivered.sum(),
                lostTokens.getSum(),
                lostTokens.getMax(),
                excessTokens.getAverage(),
                excessTokens.getMax());
    }

    private record Comparison(long delivered, long reported) {}

    private static Comparison killOnce(Random random) throws InterruptedException {
        DelayedNetwork delayedNetwork = new DelayedNetwork(ONE_WAY_LATENCY);
        CountingInMemoryStore store = new CountingInMemoryStore(MonotonicClock.SYSTEM);
        // The sealing clock runs two minutes in each second, so that a usage window ends with every pass.
        MonotonicClock acceleratedClock = () -> System.nanoTime() * 120;
        List<AvailabilityZone> zones =
                List.of(new AvailabilityZone("zone-0"), new AvailabilityZone("zone-1"), new AvailabilityZone("zone-2"));
        List<UsageNode> nodes = new ArrayList<>();
        for (int i = 0; i < zones.size(); i++) {
            nodes.add(new UsageNode(delayedNetwork, i, zones.get(i), Set.copyOf(zones), store, acceleratedClock));
        }
        LongAdder reported = new LongAdder();
        Thread sealingThread = nodes.get(1)
                .startSealing(
                        UsageBuckets.of(ACCOUNT),
                        (report, number) -> reported.add(report.figures().outputTokens()));
        UsageNode servingNode = nodes.getFirst();
        AtomicBoolean killed = new AtomicBoolean();
        LongAdder delivered = new LongAdder();
        List<Thread> streams = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            long streamSeed = random.nextLong();
            streams.add(Thread.ofVirtual()
                    .start(() -> deliverChunks(servingNode, new Random(streamSeed), killed, delivered)));
        }
        Thread.sleep(100 + random.nextInt(500));
        synchronized (killed) {
            killed.set(true);
            delayedNetwork.remove(servingNode.self.vm());
        }
        servingNode.stop();
        streams.forEach(Thread::interrupt);
        // Long enough for two sealing passes that began after the kill.
        Thread.sleep(4_000);
        sealingThread.interrupt();
        nodes.forEach(UsageNode::stop);
        return new Comparison(delivered.sum(), reported.sum());
    }

    private static void deliverChunks(UsageNode node, Random random, AtomicBoolean killed, LongAdder delivered) {
        try {
            while (true) {
                int tokens = 1 + random.nextInt(MAXIMUM_CHUNK_TOKENS);
                node.replicator.recordBeforeDelivery(ACCOUNT, new UsageFigures(0, tokens, 0));
                synchronized (killed) {
                    if (killed.get()) {
                        return;
                    }
                    delivered.add(tokens);
                }
                Thread.sleep(random.nextInt(MAXIMUM_CHUNK_INTERVAL_MILLIS));
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
