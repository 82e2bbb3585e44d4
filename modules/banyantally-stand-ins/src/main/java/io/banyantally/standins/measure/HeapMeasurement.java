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

/** Measures the heap that counters take. */
final class HeapMeasurement {
    private static final int COLLECTIONS = 5;
    private static final int WARM_UP_ACCOUNTS = 13_000;

    private final PrintStream out;

    HeapMeasurement(PrintStream out) {
        this.out = out;
    }

    /** Returns the heap in use after full collections. */
    static long used() throws InterruptedException {
        for (int i = 0; i < COLLECTIONS; i++) {
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
        DelayedNetwork hub = new DelayedNetwork(Duration.ZERO);
        Set<AvailabilityZone> zones = Set.of(new AvailabilityZone("zone-0"), new AvailabilityZone("zone-1"));
        CountingStore store = new CountingStore(MonotonicClock.SYSTEM);
        List<UsageNode> nodes = new ArrayList<>();
        nodes.add(new UsageNode(hub, 0, new AvailabilityZone("zone-0"), zones, store, MonotonicClock.SYSTEM));
        List<ClientAccountId> accounts = IntStream.range(0, accountCount)
                .mapToObj(i -> new ClientAccountId("client-account-" + i))
                .toList();
        long before = used();
        nodes.getFirst().serveOnce(accounts, new UsageFigures(1_000_000_000L, 100_000_000L, 1_000_000L));
        long beforeCopies = used();
        long own = beforeCopies - before;
        nodes.add(new UsageNode(hub, 1, new AvailabilityZone("zone-1"), zones, store, MonotonicClock.SYSTEM));
        nodes.getFirst().serveOnce(accounts.subList(0, 1), new UsageFigures(0, 1, 0));
        Thread.sleep(Duration.ofSeconds(1));
        long copies = used() - beforeCopies;
        if (printed) {
            out.printf("%d %d %d %d %d%n", accountCount, own, copies, own / accountCount, copies / accountCount);
        }
        nodes.forEach(UsageNode::stop);
    }
}
