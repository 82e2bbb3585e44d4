package io.banyantally.internal.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.deployment.EraCheckedStore;
import io.banyantally.internal.deployment.StoreHealth;
import io.banyantally.internal.time.WallClock;
import io.banyantally.model.ClientAccountId;
import io.banyantally.model.FencingNumber;
import io.banyantally.model.VmId;
import io.banyantally.platform.DutyHolder;
import io.banyantally.platform.InterfaceOutcomeUnknownException;
import io.banyantally.platform.PlatformException;
import io.banyantally.platform.StoreEra;
import io.banyantally.platform.UsageWindowSink;
import io.banyantally.testing.FakeCoordinationStore;
import io.banyantally.testing.ManualClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class UsageReporterTest {

    private static final Duration WINDOW = Duration.ofSeconds(5);
    private static final Duration REPORT_DEADLINE = Duration.ofSeconds(10);
    /** A quarter of the report deadline, for a receiver or a store that is unavailable or slow. */
    private static final Duration OUTAGE = REPORT_DEADLINE.dividedBy(4);

    private static final ClientAccountId ACCOUNT = new ClientAccountId("account-1");
    private static final DutyHolder HOLDER = new DutyHolder(new VmId("vm-1"), new FencingNumber(4), () -> true);

    private final ManualClock clock = new ManualClock();
    private final FakeCoordinationStore store = new FakeCoordinationStore(clock);
    private final StoreHealth health = new StoreHealth(clock);
    private final FakeSink sink = new FakeSink();
    private final Vm first = new Vm("vm-1");
    private final Vm second = new Vm("vm-2");

    /** The first holder since the store exists seals no window that ended before its election. */
    @BeforeEach
    void electFirst() throws InterruptedException {
        first.reporter.run(HOLDER);
    }

    /** Guards against a report that leaves out the usage of other VMs. */
    @Test
    void reportsTheSumOfAllVms() throws InterruptedException {
        first.serve(3);
        second.serve(4);
        publishForSeconds(7.5);

        first.reporter.run(HOLDER);

        assertEquals(7, sink.counts(0));
    }

    /**
     * Guards against a report without the counts of a VM that was disconnected from the store and publishes them late.
     */
    @Test
    void waitsForADisconnectedVm() throws InterruptedException {
        first.serve(3);
        second.serve(4);
        second.publisher.publish(1);
        second.serve(5);
        publishFirstForSeconds(9);
        first.reporter.run(HOLDER);
        assertTrue(sink.windows().isEmpty(), "the second VM has not published its final counts");

        second.publisher.publish(1);
        first.reporter.run(HOLDER);

        assertEquals(12, sink.counts(0));
    }

    /** Guards against a report that misses its deadline because the reporter waits for a crashed VM. */
    @Test
    void reportsWithoutACrashedVmBeforeTheDeadline() throws InterruptedException {
        second.serve(4);
        second.publisher.publish(1);
        first.serve(3);
        publishFirstForSeconds(13);

        first.reporter.run(HOLDER);

        assertEquals(7, sink.counts(0));
    }

    /**
     * Guards against a window that is never reported: the store fails after the reporter has waited for a crashed VM.
     */
    @Test
    void leavesTimeForAnOutageAfterWaitingForACrashedVm() throws InterruptedException {
        second.serve(4);
        second.publisher.publish(1);
        first.serve(3);
        publishFirstForSeconds(WINDOW.plus(REPORT_DEADLINE).minus(OUTAGE).toMillis() / 1000.0);

        first.reporter.run(HOLDER);

        assertEquals(7, sink.counts(0));
    }

    /** Guards against two different reports of a window when the response to the first one is lost. */
    @Test
    void repeatsTheSealedCountsAfterALostResponse() throws InterruptedException {
        first.serve(3);
        publishForSeconds(7.5);
        sink.loseNextResponse = true;
        first.reporter.run(HOLDER);
        second.serve(1);
        first.publisher.publish(1);

        second.reporter.run(new DutyHolder(new VmId("vm-2"), new FencingNumber(9), () -> true));

        assertEquals(List.of(3L, 3L), sink.reportsOf(0));
    }

    /** Guards against state that grows without bound: counts of ended processes and old windows are deleted. */
    @Test
    void deletesExpiredState() throws InterruptedException {
        first.serve(3);
        publishForSeconds(7.5);
        first.reporter.run(HOLDER);
        int keysAtFirst = store.keys("banyantally/usage/").size();
        for (int round = 0; round < 30; round++) {
            publishFirstForSeconds(5);
            first.reporter.run(HOLDER);
        }

        assertTrue(
                store.keys("banyantally/usage/").size() < keysAtFirst + 15,
                () -> "keys: " + store.keys("banyantally/usage/"));
    }

    private void publishForSeconds(double seconds) {
        for (double elapsed = 0; elapsed < seconds; elapsed += 0.5) {
            clock.advance(Duration.ofMillis(500));
            first.publisher.publish(1);
            second.publisher.publish(1);
        }
    }

    private void publishFirstForSeconds(double seconds) {
        for (double elapsed = 0; elapsed < seconds; elapsed += 0.5) {
            clock.advance(Duration.ofMillis(500));
            first.publisher.publish(1);
        }
    }

    private final class Vm {
        private final UsageLedger ledger;
        private final UsagePublisher publisher;
        private final UsageReporter reporter;

        Vm(String name) {
            ledger = new UsageLedger(new WallClock(clock, () -> clock.nanoTime() / 1_000_000), WINDOW);
            EraCheckedStore checked = new EraCheckedStore(store, clock);
            Supplier<StoreEra> era = () -> checked.era().orElse(StoreEra.UNKNOWN);
            publisher = new UsagePublisher(checked, era, ledger, health, clock, new VmId(name), "lifetime-of-" + name);
            reporter = new UsageReporter(checked, era, ledger, sink, health, REPORT_DEADLINE, new ReportedWindows());
        }

        void serve(int requests) {
            for (int request = 0; request < requests; request++) {
                ledger.countStarted(ACCOUNT);
            }
        }
    }

    private static final class FakeSink implements UsageWindowSink {
        private final List<Map.Entry<Long, Long>> reports = new ArrayList<>();
        private boolean loseNextResponse;

        @Override
        public void report(DutyHolder holder, long window, Map<ClientAccountId, Long> counts) throws PlatformException {
            reports.add(Map.entry(window, counts.getOrDefault(ACCOUNT, 0L)));
            if (loseNextResponse) {
                loseNextResponse = false;
                throw new InterfaceOutcomeUnknownException("the response was lost");
            }
        }

        List<Long> windows() {
            return reports.stream()
                    .map(Map.Entry::getKey)
                    .filter(window -> window >= 0)
                    .toList();
        }

        List<Long> reportsOf(long window) {
            return reports.stream()
                    .filter(report -> report.getKey() == window)
                    .map(Map.Entry::getValue)
                    .toList();
        }

        long counts(long window) {
            return reportsOf(window).getLast();
        }
    }
}
