package io.banyantally.standins.measure;

import io.banyantally.internal.adapter.AdapterHttpClient;
import io.banyantally.internal.adapter.HttpKeyValueStore;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import java.util.List;
import java.util.concurrent.Callable;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures latency and processor time of a call to the key-value service. */
@Command(
        name = "key-value",
        mixinStandardHelpOptions = true,
        description = "Reads and writes values of several sizes in turn and prints time and processor time of a call.")
final class KeyValueCostCommand implements Callable<Integer> {

    private static final double NANOS_PER_MICRO = 1e3;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final StoreKey KEY = new StoreKey("measure/value");

    @Option(names = "--platform", required = true, description = "Address of a platform stand-in.")
    private String platformAddress;

    @Option(names = "--calls", defaultValue = "2000", description = "Calls of each kind and size.")
    private int calls;

    @Option(names = "--sizes", split = ",", defaultValue = "100,10000,100000", description = "Value sizes in bytes.")
    private List<Integer> sizes;

    private StoreRevision revision = StoreRevision.ABSENT;

    @Override
    public Integer call() throws Exception {
        try (AdapterHttpClient client = AdapterHttpClient.start()) {
            HttpKeyValueStore store =
                    new HttpKeyValueStore(client, GenerationRequests.parseLoopbackAddress(platformAddress));
            revision = store.get(KEY).map(value -> value.revision()).orElse(StoreRevision.ABSENT);
            for (int warmUp = 0; warmUp < calls; warmUp++) {
                write(store, sizes.getFirst());
            }
            for (int size : sizes) {
                measure("write", size, () -> write(store, size));
                measure("read", size, () -> store.get(KEY));
            }
        }
        return 0;
    }

    private void write(HttpKeyValueStore store, int size) throws StoreException {
        revision = store.compareAndSwap(KEY, revision, new byte[size]);
    }

    @FunctionalInterface
    private interface StoreCall {
        void run() throws StoreException;
    }

    private void measure(String kind, int size, StoreCall call) throws StoreException {
        Histogram times = new Histogram(SIGNIFICANT_DIGITS);
        long before = ProcessCost.processorNanos();
        for (int number = 0; number < calls; number++) {
            long startedAt = System.nanoTime();
            call.run();
            times.recordValue(System.nanoTime() - startedAt);
        }
        System.out.printf(
                "kind=%s value_bytes=%d calls=%d p50_micros=%.0f p99_micros=%.0f processor_micros_per_call=%.0f%n",
                kind,
                size,
                calls,
                times.getValueAtPercentile(50) / NANOS_PER_MICRO,
                times.getValueAtPercentile(99) / NANOS_PER_MICRO,
                (ProcessCost.processorNanos() - before) / NANOS_PER_MICRO / calls);
    }
}
