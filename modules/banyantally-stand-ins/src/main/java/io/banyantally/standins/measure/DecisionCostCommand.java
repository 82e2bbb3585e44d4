package io.banyantally.standins.measure;

import com.sun.management.ThreadMXBean;
import io.banyantally.internal.admission.AdmissionRefusedException;
import io.banyantally.internal.routing.NoUpstreamException;
import io.banyantally.standins.measure.DecisionFixture.AdmittedRequest;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures time and allocation of admission plus routing, and heap per upstream, account and request in flight. */
@Command(
        name = "decisions",
        mixinStandardHelpOptions = true,
        description = "Measures routing plus admission in this process.")
public final class DecisionCostCommand implements Callable<Integer> {
    private static final int WARM_UP = 200_000;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final int[] UPSTREAM_RANGE = {500, 1_000, 2_000, 4_000};
    private static final int[] ACCOUNT_RANGE = {1_000, 4_000, 8_000, 13_000};
    private static final int[] IN_FLIGHT_RANGE = {1_000, 2_000, 4_000, 8_000};
    private static final int[] THREADS = {1, 2, 4, 8};
    private static final int GARBAGE_COLLECTIONS = 4;

    @Option(names = "--upstreams", defaultValue = "500", description = "upstreams (default: ${DEFAULT-VALUE})")
    private int upstreams;

    @Option(names = "--accounts", defaultValue = "1000", description = "accounts (default: ${DEFAULT-VALUE})")
    private int accounts;

    @Option(names = "--decisions", defaultValue = "500000", description = "decisions (default: ${DEFAULT-VALUE})")
    private int decisions;

    @Override
    public Integer call() throws AdmissionRefusedException, InterruptedException, NoUpstreamException {
        measureTime();
        for (int threads : THREADS) {
            measureThreads(threads);
        }
        printBytesEach("upstream", UPSTREAM_RANGE, size -> heapOf(size, 1, size));
        printBytesEach("account", ACCOUNT_RANGE, size -> heapOf(10, size, size));
        printBytesEach("request in flight", IN_FLIGHT_RANGE, this::heapInFlight);
        return 0;
    }

    private void measureTime() throws AdmissionRefusedException, InterruptedException, NoUpstreamException {
        DecisionFixture fixture = new DecisionFixture(upstreams, accounts);
        for (int number = 0; number < WARM_UP; number++) {
            fixture.admitAndRoute(number).finish();
        }
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        Histogram nanos = new Histogram(3);
        long allocatedBefore = threads.getCurrentThreadAllocatedBytes();
        long start = System.nanoTime();
        for (int number = 0; number < decisions; number++) {
            long before = System.nanoTime();
            AdmittedRequest admitted = fixture.admitAndRoute(number);
            nanos.recordValue(System.nanoTime() - before);
            admitted.finish();
        }
        long total = System.nanoTime() - start;
        long allocated = threads.getCurrentThreadAllocatedBytes() - allocatedBefore;
        System.out.printf(
                Locale.ROOT,
                "upstreams=%d accounts=%d decisions=%d meanMicros=%.2f p50Micros=%.2f p99Micros=%.2f "
                        + "withEndMicros=%.2f allocatedBytes=%d%n",
                upstreams,
                accounts,
                decisions,
                nanos.getMean() / NANOS_PER_MICRO,
                nanos.getValueAtPercentile(50) / NANOS_PER_MICRO,
                nanos.getValueAtPercentile(99) / NANOS_PER_MICRO,
                total / NANOS_PER_MICRO / decisions,
                allocated / decisions);
    }

    /** Measures the decisions per second of several threads; the rate would not grow if all requests shared a lock. */
    private void measureThreads(int threads) throws InterruptedException {
        DecisionFixture fixture = new DecisionFixture(upstreams, accounts);
        List<Thread> workers = new ArrayList<>();
        long start = System.nanoTime();
        for (int worker = 0; worker < threads; worker++) {
            int first = worker * decisions;
            workers.add(Thread.ofPlatform().start(() -> admitAndRouteAll(fixture, first)));
        }
        for (Thread worker : workers) {
            worker.join();
        }
        double seconds = (System.nanoTime() - start) / 1e9;
        System.out.println("threads=" + threads + " decisionsPerSecond=" + Math.round(threads * decisions / seconds));
    }

    private void admitAndRouteAll(DecisionFixture fixture, int first) {
        try {
            for (int number = first; number < first + decisions; number++) {
                fixture.admitAndRoute(number).finish();
            }
        } catch (AdmissionRefusedException | NoUpstreamException refused) {
            throw new IllegalStateException(
                    "a request was refused; the fixture must have capacity for all requests", refused);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private interface HeapMeasure {
        long bytes(int size) throws AdmissionRefusedException, InterruptedException, NoUpstreamException;
    }

    private static void printBytesEach(String name, int[] range, HeapMeasure measure)
            throws AdmissionRefusedException, InterruptedException, NoUpstreamException {
        long first = 0;
        long last = 0;
        StringBuilder points = new StringBuilder();
        for (int size : range) {
            last = measure.bytes(size);
            first = size == range[0] ? last : first;
            points.append(size).append(':').append(last).append(' ');
        }
        long bytesEach = (last - first) / (range[range.length - 1] - range[0]);
        System.out.println("memory=" + name + " bytesEach=" + bytesEach + " points="
                + points.toString().strip());
    }

    private static long heapOf(int upstreams, int accounts, int requests)
            throws AdmissionRefusedException, InterruptedException, NoUpstreamException {
        long before = usedHeap();
        DecisionFixture fixture = new DecisionFixture(upstreams, accounts);
        for (int number = 0; number < requests; number++) {
            fixture.admitAndRoute(number).finish();
        }
        long used = usedHeap() - before;
        fixture.admitAndRoute(0).finish();
        return used;
    }

    private long heapInFlight(int requests)
            throws AdmissionRefusedException, InterruptedException, NoUpstreamException {
        DecisionFixture fixture = new DecisionFixture(4_000, 1_000);
        for (int number = 0; number < WARM_UP; number++) {
            fixture.admitAndRoute(number).finish();
        }
        long before = usedHeap();
        List<AdmittedRequest> inFlight = new ArrayList<>();
        for (int number = 0; number < requests; number++) {
            AdmittedRequest admitted = fixture.admitAndRoute(number);
            admitted.route().tokenReceived();
            admitted.ticket().firstTokenSent();
            inFlight.add(admitted);
        }
        long used = usedHeap() - before;
        inFlight.forEach(AdmittedRequest::finish);
        return used;
    }

    private static long usedHeap() {
        for (int collection = 0; collection < GARBAGE_COLLECTIONS; collection++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
