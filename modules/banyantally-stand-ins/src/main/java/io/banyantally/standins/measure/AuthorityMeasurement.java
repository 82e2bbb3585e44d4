package io.banyantally.standins.measure;

import io.banyantally.internal.authority.Scope;
import io.banyantally.model.FencingNumber;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.VersionedValue;
import io.banyantally.standins.measure.MeasuredSite.ScopeOwningVm;
import io.banyantally.upstream.EngineRole;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Measures the ownership of scopes over an in-memory store: calls to the key-value service per scope, the time from the
 * kill of an owner to its successor's first order, and heap per scope and per engine. Prints one line for each size.
 */
public final class AuthorityMeasurement {

    private static final Duration STEADY_STATE_DURATION = Duration.ofSeconds(20);
    private static final Duration MAXIMUM_WAIT = Duration.ofSeconds(40);
    private static final Duration PEER_FAILURE_DETECTION_TIME = Duration.ofSeconds(2);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);
    private static final int[][] SIZES = {{6, 4}, {6, 20}, {6, 60}, {6, 200}, {20, 20}, {60, 20}, {200, 20}};
    private static final int HEAP_SCOPES = 100;
    private static final int HEAP_ENGINES = 50;

    private AuthorityMeasurement() {}

    /** Runs all sizes, then the heap measurement. */
    public static void main(String[] arguments) throws InterruptedException {
        for (int[] size : SIZES) {
            measureCalls(size[0], size[1]);
        }
        measureHeap();
    }

    private static void measureCalls(int vms, int scopes) throws InterruptedException {
        try (MeasuredSite site = new MeasuredSite(vms, scopes, 1)) {
            site.start();
            awaitEnginesAtTarget(site);
            Thread.sleep(PEER_FAILURE_DETECTION_TIME);
            long reads = site.reads.sum();
            long writes = site.writes.sum();
            Thread.sleep(STEADY_STATE_DURATION);
            double seconds = STEADY_STATE_DURATION.toSeconds();
            double readRate = (site.reads.sum() - reads) / seconds / scopes;
            double writeRate = (site.writes.sum() - writes) / seconds / scopes;
            System.out.printf(
                    "vms=%d scopes=%d steadyReadsPerSecondAndScope=%.3f steadyWritesPerSecondAndScope=%.3f%n",
                    vms, scopes, readRate, writeRate);
            measureTakeover(site, vms, scopes, (readRate + writeRate) * scopes);
        }
    }

    private static void measureTakeover(MeasuredSite site, int vms, int scopes, double steadyRate)
            throws InterruptedException {
        ScopeOwningVm killedVm = site.vmOwningMostScopes();
        List<Scope> lostScopes = killedVm.ownedScopes();
        Map<Scope, FencingNumber> formerFencingNumbers = new HashMap<>();
        lostScopes.forEach(
                scope -> formerFencingNumbers.put(scope, site.engine(scope).highestFencingNumber()));
        long calls = site.reads.sum() + site.writes.sum();
        long killedAt = System.nanoTime();
        site.kill(killedVm);
        // The killed VM's owners run in this process and may go on for a moment; a killed process would send nothing.
        Thread.sleep(PEER_FAILURE_DETECTION_TIME);
        site.removePeer(killedVm);
        Thread.sleep(PEER_FAILURE_DETECTION_TIME.multipliedBy(2));
        site.setTargetRole(EngineRole.DECODE);
        awaitEnginesAtTarget(site);
        double elapsed = (System.nanoTime() - killedAt) / 1e9;
        // Each scope that kept its owner writes one intent record for the changed target.
        double callsOfOtherScopes = steadyRate * elapsed + scopes - lostScopes.size();
        double extraCallsPerScope =
                (site.reads.sum() + site.writes.sum() - calls - callsOfOtherScopes) / lostScopes.size();
        long[] millis = lostScopes.stream()
                .filter(scope -> site.engine(scope).highestFencingNumber().isAfter(formerFencingNumbers.get(scope)))
                .mapToLong(scope -> (site.engine(scope).firstOrderNanos() - killedAt) / 1_000_000)
                .sorted()
                .toArray();
        if (millis.length == 0) {
            System.out.printf("vms=%d scopes=%d takenOver=0; the machine was too busy, run again%n", vms, scopes);
            return;
        }
        System.out.printf(
                "vms=%d scopes=%d takenOver=%d extraCallsPerTakeover=%.1f firstOrderMillis min=%d median=%d max=%d%n",
                vms,
                scopes,
                millis.length,
                extraCallsPerScope,
                millis[0],
                millis[millis.length / 2],
                millis[millis.length - 1]);
    }

    private static void measureHeap() throws InterruptedException {
        long[] heapBytesPerScope = new long[2];
        int[] engines = {1, HEAP_ENGINES};
        for (int run = 0; run < engines.length; run++) {
            try (MeasuredSite site = new MeasuredSite(1, HEAP_SCOPES, engines[run])) {
                long before = usedHeap();
                site.start();
                awaitEnginesAtTarget(site);
                Thread.sleep(PEER_FAILURE_DETECTION_TIME.multipliedBy(3));
                heapBytesPerScope[run] = (usedHeap() - before) / HEAP_SCOPES;
                int recordBytes = site.store
                        .get(new StoreKey("scope/service-0@north"))
                        .map(VersionedValue::value)
                        .orElseThrow()
                        .length;
                System.out.printf(
                        "scopes=%d enginesPerScope=%d heapBytesPerScope=%d recordBytes=%d%n",
                        HEAP_SCOPES, engines[run], heapBytesPerScope[run], recordBytes);
            }
            Thread.sleep(PEER_FAILURE_DETECTION_TIME);
        }
        System.out.printf(
                "heapBytesPerEngine=%d%n", (heapBytesPerScope[1] - heapBytesPerScope[0]) / (HEAP_ENGINES - 1));
    }

    private static void awaitEnginesAtTarget(MeasuredSite site) throws InterruptedException {
        long start = System.nanoTime();
        while (!site.allEnginesAtTarget()) {
            if (System.nanoTime() - start > MAXIMUM_WAIT.toNanos()) {
                throw new IllegalStateException("the engines did not reach their targets within " + MAXIMUM_WAIT);
            }
            Thread.sleep(POLL_INTERVAL);
        }
    }

    /** Returns the bytes in use: the smallest of several readings, each after a garbage collection. */
    private static long usedHeap() throws InterruptedException {
        long[] readings = new long[5];
        for (int reading = 0; reading < readings.length; reading++) {
            System.gc();
            Thread.sleep(POLL_INTERVAL.multipliedBy(4));
            Runtime runtime = Runtime.getRuntime();
            readings[reading] = runtime.totalMemory() - runtime.freeMemory();
        }
        return Arrays.stream(readings).min().getAsLong();
    }
}
