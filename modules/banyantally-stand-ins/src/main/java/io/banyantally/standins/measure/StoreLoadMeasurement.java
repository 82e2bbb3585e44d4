package io.banyantally.standins.measure;

import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.usage.UsageBuckets;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ClientAccountId;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.UsageFigures;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.IntStream;

/** Measures calls to the key-value service and record sizes by number of zones, VMs and client accounts. */
final class StoreLoadMeasurement {
    private static final UsageFigures LARGE = new UsageFigures(1_000_000_000L, 100_000_000L, 1_000_000L);
    private static final int FLUSHES_PER_WINDOW = 6;

    private final PrintStream out;

    StoreLoadMeasurement(PrintStream out) {
        this.out = out;
    }

    void run() throws InterruptedException, StoreException {
        out.println("store: zones vms accounts sealWrites sealReads flushWrites flushReads perWindow,"
                + " writesPerSecond readsPerSecond largestSealedBytes largestFlushBytes reports heapBytesOfOwner");
        measure(3, 7, 8);
        measure(3, 7, 1_000);
        measure(3, 7, 13_000);
        measure(3, 14, 1_000);
        measure(3, 28, 1_000);
        measure(10, 28, 1_000);
        measure(20, 28, 1_000);
    }

    private void measure(int zoneCount, int vms, int accountCount) throws InterruptedException, StoreException {
        DelayedNetwork delayedNetwork = new DelayedNetwork(Duration.ZERO);
        CountingInMemoryStore store = new CountingInMemoryStore(MonotonicClock.SYSTEM);
        AtomicLong now = new AtomicLong(1);
        Set<AvailabilityZone> zones = new LinkedHashSet<>();
        IntStream.range(0, zoneCount).forEach(i -> zones.add(new AvailabilityZone("zone-" + i)));
        List<AvailabilityZone> zoneList = List.copyOf(zones);
        List<UsageNode> nodes = new ArrayList<>();
        for (int i = 0; i < vms; i++) {
            nodes.add(new UsageNode(delayedNetwork, i, zoneList.get(i % zoneCount), zones, store, now::get));
        }
        List<ClientAccountId> accounts = IntStream.range(0, accountCount)
                .mapToObj(i -> new ClientAccountId("client-account-" + i))
                .toList();
        for (UsageNode node : nodes) {
            node.serveOnce(accounts, LARGE);
        }
        long heapBefore = HeapMeasurement.usedHeapBytes();
        LongAdder reports = new LongAdder();
        List<Thread> sealingThreads = new ArrayList<>();
        for (int bucket = 0; bucket < UsageBuckets.COUNT; bucket++) {
            sealingThreads.add(nodes.get(bucket % vms).startSealing(bucket, (report, number) -> reports.increment()));
        }
        Thread.sleep(Duration.ofSeconds(2));
        long writes = store.writes.sum();
        long reads = store.reads.sum();
        now.addAndGet(Duration.ofSeconds(60).toNanos());
        Thread.sleep(Duration.ofSeconds(3));
        long sealWrites = store.writes.sum() - writes;
        long sealReads = store.reads.sum() - reads;
        long ownerHeapBytes = HeapMeasurement.usedHeapBytes() - heapBefore;
        // Every account gets new usage between the two flushes, so that the second flush skips no bucket.
        for (int i = 0; i < zoneCount; i++) {
            nodes.get(i).flush.flushOnce();
        }
        for (UsageNode node : nodes) {
            node.serveOnce(accounts, new UsageFigures(1, 1, 1));
        }
        writes = store.writes.sum();
        reads = store.reads.sum();
        for (int i = 0; i < zoneCount; i++) {
            nodes.get(i).flush.flushOnce();
        }
        long flushWrites = (store.writes.sum() - writes) * FLUSHES_PER_WINDOW;
        long flushReads = (store.reads.sum() - reads) * FLUSHES_PER_WINDOW;
        out.printf(
                "%d %d %d %d %d %d %d, %.2f %.2f %d %d %d %d%n",
                zoneCount,
                vms,
                accountCount,
                sealWrites,
                sealReads,
                flushWrites,
                flushReads,
                (sealWrites + flushWrites) / 60.0,
                (sealReads + flushReads) / 60.0,
                store.maximumValueBytes.getOrDefault("usage", 0),
                store.maximumValueBytes.getOrDefault("usage-flush", 0),
                reports.sum(),
                ownerHeapBytes);
        sealingThreads.forEach(Thread::interrupt);
        nodes.forEach(UsageNode::stop);
    }
}
