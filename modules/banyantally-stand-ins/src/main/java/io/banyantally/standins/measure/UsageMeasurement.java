package io.banyantally.standins.measure;

import java.io.PrintStream;
import java.util.List;

/**
 * Measures usage and protected calls; docs/measurements/usage.md has the figures.
 *
 * <p>Arguments name what to measure: {@code delivery}, {@code kills}, {@code store}, {@code heap}, {@code calls}; all of
 * them without arguments. The seed of the kills is the system property {@code banyantally.seed}.
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
                            "measurement '" + name + "' is not known; use calls, heap, store, delivery or kills");
            }
        }
    }
}
