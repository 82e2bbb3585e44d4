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
import java.util.stream.IntStream;

/** Measures the heap that usage counters and their copies on a peer use. */
final class HeapMeasurement {
    private static final int GARBAGE_COLLECTIONS = 5;
    private static final int WARM_UP_ACCOUNTS = 13_000;

    private final PrintStream out;

    HeapMeasurement(PrintStream out) {
        this.out = out;
    }

    /** Returns the heap bytes in use after several garbage collections. */
    static long usedHeapBytes() throws InterruptedException {
        for (int i = 0; i < GARBAGE_COLLECTIONS; i++) {
            System.gc();
            Thread.sleep(200);
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    void run() throws InterruptedException {
        out.println("heap: accounts bytesOfOwnCounters bytesOfCopies bytesPerOwnCounter bytesPerCopy");
        measure(WARM_UP_ACCOUNTS, false);
        for (int accounts : new int[] {1_000, 4_000, 13_000}) {
            measure(accounts, true);
        }
    }

    private void measure(int accountCount, boolean printed) throws InterruptedException {
        DelayedNetwork delayedNetwork = new DelayedNetwork(Duration.ZERO);
        Set<AvailabilityZone> zones = Set.of(new AvailabilityZone("zone-0"), new AvailabilityZone("zone-1"));
        CountingInMemoryStore store = new CountingInMemoryStore(MonotonicClock.SYSTEM);
        List<UsageNode> nodes = new ArrayList<>();
        nodes.add(
                new UsageNode(delayedNetwork, 0, new AvailabilityZone("zone-0"), zones, store, MonotonicClock.SYSTEM));
        List<ClientAccountId> accounts = IntStream.range(0, accountCount)
                .mapToObj(i -> new ClientAccountId("client-account-" + i))
                .toList();
        long before = usedHeapBytes();
        nodes.getFirst().serveOnce(accounts, new UsageFigures(1_000_000_000L, 100_000_000L, 1_000_000L));
        long beforeCopies = usedHeapBytes();
        long ownBytes = beforeCopies - before;
        nodes.add(
                new UsageNode(delayedNetwork, 1, new AvailabilityZone("zone-1"), zones, store, MonotonicClock.SYSTEM));
        nodes.getFirst().serveOnce(accounts.subList(0, 1), new UsageFigures(0, 1, 0));
        Thread.sleep(Duration.ofSeconds(1));
        long copyBytes = usedHeapBytes() - beforeCopies;
        if (printed) {
            out.printf(
                    "%d %d %d %d %d%n",
                    accountCount, ownBytes, copyBytes, ownBytes / accountCount, copyBytes / accountCount);
        }
        nodes.forEach(UsageNode::stop);
    }
}
