package io.banyantally.standins.measure;

import io.banyantally.internal.configuration.ConfigurationChange;
import io.banyantally.internal.configuration.ConfigurationPart;
import io.banyantally.internal.configuration.KeyGenerator;
import io.banyantally.internal.configuration.KeyRecord;
import io.banyantally.internal.configuration.KeyRefusedException;
import io.banyantally.internal.configuration.PlainRoute;
import io.banyantally.internal.configuration.ServiceKind;
import io.banyantally.internal.configuration.ServiceTemplate;
import io.banyantally.model.ServiceName;
import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures the heap that entries take on a VM, and the processor time to verify a key. */
@Command(
        name = "size",
        mixinStandardHelpOptions = true,
        description = "Heap bytes for each client account, template and key; processor time to verify a key.")
final class ConfigurationSizeMeasurement implements Callable<Integer> {

    private static final int MEASURED_VMS = 4;
    private static final int WARM_UP = 100_000;
    private static final int VERIFICATIONS = 300_000;

    @Option(
            names = "--entries",
            split = ",",
            defaultValue = "0,2000,4000,8000,13000",
            description = "Numbers of entries.")
    private int[] entries;

    private final KeyGenerator generator = new KeyGenerator(new SecureRandom());

    @Override
    public Integer call() throws Exception {
        System.out.println("kind entries replicaHeapBytes");
        for (int count : entries) {
            System.out.println("account " + count + " " + heapOf(accounts(count)));
        }
        for (int count : entries) {
            System.out.println("key " + count + " " + heapOf(keys(count)));
        }
        for (int count : entries) {
            System.out.println("template " + count + " " + heapOf(templates(count)));
        }
        verify(entries[entries.length - 1]);
        return 0;
    }

    private static ConfigurationChange accounts(int count) {
        return new ConfigurationChange(
                List.of(),
                IntStream.range(0, count)
                        .mapToObj(number -> ConfigurationFleet.account(number, 1))
                        .toList(),
                List.of(),
                List.of());
    }

    private ConfigurationChange keys(int count) {
        List<KeyRecord> keys = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            keys.add(generator
                    .generate(ConfigurationFleet.account(0, 1).account())
                    .record());
        }
        return new ConfigurationChange(List.of(), List.of(), keys, List.of());
    }

    private static ConfigurationChange templates(int count) {
        return new ConfigurationChange(
                IntStream.range(0, count)
                        .mapToObj(ConfigurationSizeMeasurement::template)
                        .toList(),
                List.of(),
                List.of(),
                List.of());
    }

    private static ServiceTemplate template(int number) {
        return new ServiceTemplate(
                new ServiceName("service-" + number),
                ServiceKind.PLAIN,
                List.of(),
                List.of(),
                List.of(new PlainRoute("/buoys", true, true), new PlainRoute("/orders", false, false)),
                1,
                6,
                50);
    }

    /** Puts a change in force by one VM, and returns the heap that each of several later VMs needs to hold it. */
    private long heapOf(ConfigurationChange change) throws Exception {
        try (ConfigurationFleet fleet = new ConfigurationFleet(1, 1, Duration.ZERO)) {
            ConfigurationPart writer = fleet.parts.getFirst();
            writer.start();
            put(writer, ConfigurationChange.put(ConfigurationFleet.account(0, 1)));
            put(writer, change);
            startAnother(fleet);
            long before = usedHeap();
            for (int vm = 0; vm < MEASURED_VMS; vm++) {
                startAnother(fleet);
            }
            return (usedHeap() - before) / MEASURED_VMS;
        } finally {
            // Both readings of the heap include the change itself.
            Reference.reachabilityFence(change);
        }
    }

    private static void startAnother(ConfigurationFleet fleet) throws InterruptedException {
        ConfigurationPart part = fleet.startAnother();
        while (part.view().current().roster().size() < fleet.parts.size()) {
            Thread.sleep(5);
        }
    }

    private static void put(ConfigurationPart part, ConfigurationChange change) throws Exception {
        part.editor().change(part.view().current().revision(), change);
    }

    private static long usedHeap() throws InterruptedException {
        for (int run = 0; run < 4; run++) {
            System.gc();
            Thread.sleep(50);
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private void verify(int accounts) throws Exception {
        try (ConfigurationFleet fleet = new ConfigurationFleet(2, 1, Duration.ZERO)) {
            fleet.start();
            ConfigurationPart part = fleet.parts.getFirst();
            put(part, accounts(accounts));
            put(part, keys(accounts));
            String key = part.editor()
                    .issueKey(
                            part.view().current().revision(),
                            generator.generate(ConfigurationFleet.account(0, 1).account()))
                    .text();
            report("valid", part, Optional.of("Bearer " + key));
            report("unknown", part, Optional.of("Bearer bk_0123456789abcdef_" + "0".repeat(64)));
        }
    }

    private static void report(String kind, ConfigurationPart part, Optional<String> header) {
        int accepted = repeat(part, header, WARM_UP);
        long start = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        accepted += repeat(part, header, VERIFICATIONS);
        long spent = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - start;
        System.out.printf(
                "verify %s key: %.0f ns of processor time each; accepted %d of %d%n",
                kind, spent / (double) VERIFICATIONS, accepted, WARM_UP + VERIFICATIONS);
    }

    private static int repeat(ConfigurationPart part, Optional<String> header, int times) {
        int accepted = 0;
        for (int time = 0; time < times; time++) {
            try {
                accepted += part.keyVerifier().verify(header).concurrentRequests() > 0 ? 1 : 0;
            } catch (KeyRefusedException refused) {
                accepted += 0;
            }
        }
        return accepted;
    }
}
