package io.banyantally.standins.measure;

import java.io.PrintStream;
import java.util.List;

/**
 * Measures usage accounting and calls with idempotency keys; docs/measurements/usage.md has the figures.
 *
 * <p>Arguments select the measurements: {@code delivery}, {@code kills}, {@code store}, {@code heap}, {@code calls}.
 * Without arguments all of them run. The system property {@code banyantally.seed} is the seed of the kills.
 */
public final class UsageMeasurement {
    private static final long DEFAULT_SEED = 20_261_204L;

    private UsageMeasurement() {}

    /** Runs the measurements that the arguments name and prints one line for each. */
    public static void main(String... arguments) throws Exception {
        PrintStream out = System.out;
        List<String> chosen =
                arguments.length == 0 ? List.of("calls", "heap", "store", "delivery", "kills") : List.of(arguments);
        for (String name : chosen) {
            switch (name) {
                case "calls" -> new CallMeasurement(out).run();
                case "heap" -> new HeapMeasurement(out).run();
                case "store" -> new StoreLoadMeasurement(out).run();
                case "delivery" -> new DeliveryMeasurement(out).run();
                case "kills" -> new KillMeasurement(out, Long.getLong("banyantally.seed", DEFAULT_SEED)).run();
                default ->
                    throw new IllegalArgumentException(
                            "measurement '" + name + "' is unknown; use calls, heap, store, delivery or kills");
            }
        }
    }
}
