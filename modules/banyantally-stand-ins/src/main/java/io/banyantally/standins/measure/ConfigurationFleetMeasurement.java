package io.banyantally.standins.measure;

import io.banyantally.internal.configuration.ChangeOutcome;
import io.banyantally.internal.configuration.ClientAccountParameters;
import io.banyantally.internal.configuration.ConfigurationChange;
import io.banyantally.internal.configuration.ConfigurationPart;
import io.banyantally.internal.configuration.KeyGenerator;
import io.banyantally.internal.configuration.KeyRecord;
import io.banyantally.model.Revision;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures the cost and latency of a configuration change by number of VMs and zones. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description = "Calls, bytes and times of a configuration change over many VMs in this process.")
final class ConfigurationFleetMeasurement implements Callable<Integer> {

    private static final Duration IDLE_DURATION = Duration.ofSeconds(5);

    @Option(names = "--vms", split = ",", defaultValue = "4,8,16,32,64,128,200", description = "Numbers of VMs.")
    private int[] vms;

    @Option(names = "--zones", split = ",", defaultValue = "2,4", description = "Numbers of zones.")
    private int[] zones;

    @Option(names = "--accounts", defaultValue = "1000", description = "Client accounts, with two keys each.")
    private int accounts;

    @Option(names = "--changes", defaultValue = "50", description = "Changes for each number of VMs.")
    private int changes;

    @Option(names = "--link-micros", defaultValue = "1000", description = "One-way latency of a link.")
    private int linkMicros;

    @Override
    public Integer call() throws Exception {
        System.out.println("vms zones rosterSeconds idleCallsPerSecond idleBytesPerVmSecond callsPerChange"
                + " peerBytesPerChange peerBytesPerChangeAndVm acceptedP50Millis acceptedMaxMillis"
                + " lastVmAfterAcceptanceP50Millis lastVmAfterAcceptanceMaxMillis lastVmAfterStartMaxMillis");
        for (int zoneCount : zones) {
            for (int vmCount : vms) {
                measure(vmCount, zoneCount);
            }
        }
        return 0;
    }

    private void measure(int vmCount, int zoneCount) throws Exception {
        try (ConfigurationFleet fleet =
                new ConfigurationFleet(vmCount, zoneCount, Duration.ofNanos(linkMicros * 1000L))) {
            Duration rosterJoinTime = fleet.start();
            writeAccountsAndKeys(fleet);
            CountingKeyValueStore.CallCount callsBefore = fleet.store.count();
            long bytesBefore = fleet.links.bytes();
            Thread.sleep(IDLE_DURATION);
            double idleCalls = fleet.store.count().since(callsBefore).total() / (double) IDLE_DURATION.toSeconds();
            double idleBytes = (fleet.links.bytes() - bytesBefore) / (double) IDLE_DURATION.toSeconds();
            report(fleet, vmCount, zoneCount, rosterJoinTime, idleCalls, idleBytes);
        }
    }

    private void writeAccountsAndKeys(ConfigurationFleet fleet) throws Exception {
        KeyGenerator generator = new KeyGenerator(new SecureRandom());
        ConfigurationPart first = fleet.parts.getFirst();
        List<ClientAccountParameters> parameters = IntStream.range(0, accounts)
                .mapToObj(number -> ConfigurationFleet.account(number, 1))
                .toList();
        List<KeyRecord> keys = parameters.stream()
                .flatMap(account -> Stream.of(
                        generator.generate(account.account()).record(),
                        generator.generate(account.account()).record()))
                .toList();
        change(first, new ConfigurationChange(List.of(), parameters, List.of(), List.of()));
        fleet.await(change(first, new ConfigurationChange(List.of(), List.of(), keys, List.of())));
    }

    private static Revision change(ConfigurationPart part, ConfigurationChange change) throws Exception {
        return part.editor().change(part.view().current().revision(), change).revision();
    }

    private void report(
            ConfigurationFleet fleet,
            int vmCount,
            int zoneCount,
            Duration rosterJoinTime,
            double idleCalls,
            double idleBytes)
            throws Exception {
        Histogram acceptedMicros = new Histogram(3);
        Histogram lastVmMicros = new Histogram(3);
        Histogram totalMicros = new Histogram(3);
        CountingKeyValueStore.CallCount callsBefore = fleet.store.count();
        long bytesBefore = fleet.links.bytes();
        long measurementStart = System.nanoTime();
        for (int change = 0; change < changes; change++) {
            ConfigurationPart writer = fleet.parts.get(change % fleet.parts.size());
            long start = System.nanoTime();
            ChangeOutcome outcome = writer.editor()
                    .change(
                            writer.view().current().revision(),
                            ConfigurationChange.put(ConfigurationFleet.account(change, change + 2)));
            if (!outcome.confirmed()) {
                throw new IllegalStateException("change " + change + " was not confirmed");
            }
            long acceptedAt = System.nanoTime();
            fleet.await(outcome.revision());
            long appliedEverywhereAt = System.nanoTime();
            acceptedMicros.recordValue((acceptedAt - start) / 1_000);
            lastVmMicros.recordValue((appliedEverywhereAt - acceptedAt) / 1_000);
            totalMicros.recordValue((appliedEverywhereAt - start) / 1_000);
        }
        double seconds = (System.nanoTime() - measurementStart) / 1e9;
        double calls = (fleet.store.count().since(callsBefore).total() - idleCalls * seconds) / changes;
        double bytes = (fleet.links.bytes() - bytesBefore - idleBytes * seconds) / changes;
        System.out.printf(
                "%d %d %.1f %.1f %.0f %.1f %.0f %.0f %.1f %.1f %.1f %.1f %.1f%n",
                vmCount,
                zoneCount,
                rosterJoinTime.toMillis() / 1e3,
                idleCalls,
                idleBytes / vmCount,
                calls,
                bytes,
                bytes / vmCount,
                millis(acceptedMicros.getValueAtPercentile(50)),
                millis(acceptedMicros.getMaxValue()),
                millis(lastVmMicros.getValueAtPercentile(50)),
                millis(lastVmMicros.getMaxValue()),
                millis(totalMicros.getMaxValue()));
    }

    private static double millis(long micros) {
        return micros / 1e3;
    }
}
