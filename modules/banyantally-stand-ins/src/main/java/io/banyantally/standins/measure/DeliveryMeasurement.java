package io.banyantally.standins.measure;

import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ClientAccountId;
import io.banyantally.platform.UsageFigures;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.ConcurrentHistogram;

/** Measures the delay that copying usage to a peer adds to each delivery, and the messages that the copies take. */
final class DeliveryMeasurement {
    private static final long TOKEN_INTERVAL_MILLIS = 32;
    private static final Duration WARM_UP_DURATION = Duration.ofSeconds(1);
    private static final Duration MEASURED_DURATION = Duration.ofSeconds(4);
    private static final int SIGNIFICANT_DIGITS = 3;

    private final PrintStream out;

    DeliveryMeasurement(PrintStream out) {
        this.out = out;
    }

    void run() throws InterruptedException {
        out.println("delivery: oneWayMicros streams accounts p50Micros p99Micros messagesPerSecond bytesPerSecond");
        for (long micros : new long[] {1_000, 1_500}) {
            for (int streams : new int[] {1, 10, 100, 1_000}) {
                measure(micros, streams, Math.min(streams, 8));
            }
        }
        for (int accounts : new int[] {1, 10, 100, 1_000}) {
            measure(1_500, 1_000, accounts);
        }
    }

    private void measure(long oneWayMicros, int streams, int accounts) throws InterruptedException {
        DelayedNetwork delayedNetwork =
                new DelayedNetwork(Duration.ofNanos(TimeUnit.MICROSECONDS.toNanos(oneWayMicros)));
        CountingInMemoryStore store = new CountingInMemoryStore(MonotonicClock.SYSTEM);
        List<UsageNode> nodes = new ArrayList<>();
        Set<AvailabilityZone> zones = Set.of(new AvailabilityZone("zone-0"), new AvailabilityZone("zone-1"));
        for (int i = 0; i < 2; i++) {
            nodes.add(new UsageNode(
                    delayedNetwork, i, new AvailabilityZone("zone-" + i), zones, store, MonotonicClock.SYSTEM));
        }
        UsageNode servingNode = nodes.getFirst();
        ConcurrentHistogram addedNanos = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
        List<Thread> streamThreads = new ArrayList<>();
        for (int stream = 0; stream < streams; stream++) {
            ClientAccountId account = new ClientAccountId("client-account-" + stream % accounts);
            long offset = TOKEN_INTERVAL_MILLIS * 1_000_000L * stream / streams;
            streamThreads.add(Thread.ofVirtual().start(() -> deliver(servingNode, account, offset, addedNanos)));
        }
        Thread.sleep(WARM_UP_DURATION);
        addedNanos.reset();
        long messages = servingNode.network.messages.sum();
        long bytes = servingNode.network.bytes.sum();
        Thread.sleep(MEASURED_DURATION);
        long seconds = MEASURED_DURATION.toSeconds();
        out.printf(
                "%d %d %d %d %d %d %d%n",
                oneWayMicros,
                streams,
                accounts,
                addedNanos.getValueAtPercentile(50) / 1_000,
                addedNanos.getValueAtPercentile(99) / 1_000,
                (servingNode.network.messages.sum() - messages) / seconds,
                (servingNode.network.bytes.sum() - bytes) / seconds);
        streamThreads.forEach(Thread::interrupt);
        nodes.forEach(UsageNode::stop);
    }

    private static void deliver(
            UsageNode node, ClientAccountId account, long offsetNanos, ConcurrentHistogram addedNanos) {
        try {
            TimeUnit.NANOSECONDS.sleep(offsetNanos);
            while (true) {
                long start = System.nanoTime();
                node.replicator.recordBeforeDelivery(account, new UsageFigures(0, 1, 0));
                addedNanos.recordValue(System.nanoTime() - start);
                Thread.sleep(TOKEN_INTERVAL_MILLIS);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
