package io.banyantally.internal.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.banyantally.internal.adapter.WireFormat;
import io.banyantally.internal.deployment.EraCheckedStore;
import io.banyantally.internal.deployment.GatewayStoreKeys;
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
import io.banyantally.testing.FakeCoordinationStore.Copy;
import io.banyantally.testing.ManualClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Usage reports when the store comes back from a copy that is older than the seal of a reported window. */
final class UsageReportEraTest {

    private static final Duration WINDOW = Duration.ofSeconds(5);
    private static final Duration REPORT_DEADLINE = Duration.ofSeconds(10);
    private static final ClientAccountId ACCOUNT = new ClientAccountId("account-1");

    private final ManualClock clock = new ManualClock();
    private final FakeCoordinationStore store = new FakeCoordinationStore(clock);
    private final FakeSink sink = new FakeSink();
    private final Vm first = new Vm("vm-1");
    private final Vm second = new Vm("vm-2");

    @BeforeEach
    void electFirst() throws InterruptedException {
        first.report();
    }

    /** Guards against a second report of a window with other counts by a VM that does not know the first one. */
    @Test
    void windowWhoseSealIsLostIsNotReportedWithOtherCounts() throws InterruptedException {
        Copy copy = store.copy();
        first.serve(3);
        pass(Duration.ofMillis(7500));
        first.report();
        store.returnOlder(copy);

        second.serve(1);
        pass(Duration.ofSeconds(4), second);
        second.report();

        assertEquals(List.of(3L), sink.reportsOf(0));
    }

    /** Guards against other counts in the next attempt of a holder whose first report got no response. */
    @Test
    void holderRepeatsTheCountsThatItSealedBeforeTheStoreReturned() throws InterruptedException {
        Copy copy = store.copy();
        first.serve(3);
        pass(Duration.ofMillis(7500));
        sink.loseNextResponse = true;
        first.report();
        store.returnOlder(copy);

        first.report();
        first.report();

        assertEquals(List.of(3L, 3L), sink.reportsOf(0));
    }

    /** Guards against a window that is never reported since the VM that sealed it is no longer the holder. */
    @Test
    void formerHolderSealsAgainForTheNextOne() throws InterruptedException {
        Copy copy = store.copy();
        first.serve(3);
        pass(Duration.ofMillis(7500));
        sink.loseNextResponse = true;
        first.report();
        store.returnOlder(copy);
        first.serve(1);

        first.reporter.restoreSealed();
        second.report();

        assertEquals(List.of(3L, 3L), sink.reportsOf(0));
    }

    /** Guards against reporting a write of a former era that the store has applied late, after another one was lost. */
    @Test
    void sealOfAFormerEraIsNotReported() throws InterruptedException {
        Copy copy = store.copy();
        first.serve(3);
        pass(Duration.ofMillis(7500));
        first.report();
        store.returnOlder(copy);
        store.write(
                GatewayStoreKeys.sealedWindow(0).path(),
                WireFormat.encode(new SealedCounts(StoreEra.UNKNOWN, 0, Map.of(ACCOUNT, 2L))));

        second.report();

        assertEquals(List.of(3L), sink.reportsOf(0));
    }

    /** Guards against missing reports of the windows after the store has returned. */
    @Test
    void windowThatEndsAfterTheReturnIsReported() throws InterruptedException {
        Copy copy = store.copy();
        pass(Duration.ofMillis(7500));
        first.report();
        first.tell(second);
        store.returnOlder(copy);
        first.serve(2);
        second.report();
        second.serve(5);
        pass(Duration.ofSeconds(5));

        second.report();

        assertEquals(List.of(7L), sink.reportsOf(1));
    }

    /** Guards against a marker of a former era that allows to seal windows which were reported before the next one. */
    @Test
    void windowWhoseSealIsLostInTheSecondReturnIsNotReportedWithOtherCounts() throws InterruptedException {
        store.returnOlder(store.copy());
        first.report();
        Copy copy = store.copy();
        first.serve(3);
        pass(Duration.ofMillis(7500));
        first.report();
        store.returnOlder(copy);

        second.serve(1);
        pass(Duration.ofSeconds(4), second);
        second.report();

        assertEquals(List.of(3L), sink.reportsOf(0));
    }

    /** Guards against missing reports after a restart of all VMs, without a return of the store. */
    @Test
    void restartedHolderReportsTheWindowBeforeItsStart() throws InterruptedException {
        first.serve(3);
        pass(Duration.ofSeconds(6));

        Vm restarted = new Vm("vm-1");
        restarted.publisher.publish(1);
        pass(Duration.ofSeconds(5));
        restarted.report();

        assertEquals(List.of(3L), sink.reportsOf(0));
    }

    /** Guards against a second report: start of sealing by a VM whose clock is behind, from counts of an older copy. */
    @Test
    void startOfSealingByAVmWhoseClockIsBehindIsNotBeforeReportedWindows() throws InterruptedException {
        first.serve(3);
        pass(Duration.ofMillis(4500), first);
        Copy copy = store.copy();
        pass(Duration.ofSeconds(3), first);
        first.report();
        assertEquals(List.of(3L), sink.reportsOf(0));
        store.returnOlder(copy);
        Vm behind = new Vm("vm-3", -4000);

        behind.serve(1);
        for (int round = 0; round < 20; round++) {
            behind.report();
            pass(Duration.ofMillis(500), behind);
        }

        assertEquals(List.of(3L), sink.reportsOf(0));
    }

    /** Guards against a second report by a VM that knows of the first one, and whose clock is far behind. */
    @Test
    void startOfSealingIsNotBeforeWindowsWhoseReportIsKnown() throws InterruptedException {
        first.serve(3);
        pass(Duration.ofMillis(4500), first);
        Copy copy = store.copy();
        pass(Duration.ofSeconds(3), first);
        first.report();
        Vm behind = new Vm("vm-3", -12_000);
        first.tell(behind);
        store.returnOlder(copy);

        pass(Duration.ofSeconds(5), behind);
        behind.serve(1);
        for (int round = 0; round < 30; round++) {
            behind.report();
            pass(Duration.ofMillis(500), behind);
        }

        assertEquals(List.of(3L), sink.reportsOf(0));
    }

    /** Guards against a second report by a VM that knows of an earlier report only, and whose clock is behind. */
    @Test
    void startOfSealingIsNotBeforeReportsThatFollowTheNewestKnown() throws InterruptedException {
        first.serve(1);
        pass(Duration.ofMillis(7500), first);
        first.report();
        Vm behind = new Vm("vm-3", -4000);
        first.tell(behind);
        first.serve(3);
        pass(Duration.ofSeconds(2), first);
        Copy copy = store.copy();
        pass(Duration.ofSeconds(3), first);
        first.report();
        assertEquals(List.of(3L), sink.reportsOf(1));
        store.returnOlder(copy);

        behind.serve(1);
        for (int round = 0; round < 20; round++) {
            behind.report();
            pass(Duration.ofMillis(500), behind);
        }

        assertEquals(List.of(3L), sink.reportsOf(1).stream().distinct().toList());
    }

    /** Guards against a second report after a holder whose clock is ahead has deleted the seal as too old. */
    @Test
    void holderWhoseClockIsAheadDoesNotDeleteSealsOfReportableWindows() throws InterruptedException {
        first.serve(3);
        pass(Duration.ofMillis(7500));
        first.report();
        assertEquals(List.of(3L), sink.reportsOf(0));

        Vm ahead = new Vm("vm-3", 65_000);
        ahead.report();
        second.report();

        assertEquals(List.of(3L), sink.reportsOf(0).stream().distinct().toList());
    }

    /** Guards against a second report by a holder whose clock is so far behind that the seals are deleted. */
    @Test
    void holderWhoseClockIsBehindDoesNotSealDeletedWindowsAgain() throws InterruptedException {
        first.serve(3);
        for (int window = 0; window < 16; window++) {
            pass(WINDOW);
            first.serve(1);
            first.report();
        }
        assertEquals(List.of(3L), sink.reportsOf(0));

        Vm behind = new Vm("vm-3", -72_000);
        behind.report();

        assertEquals(List.of(3L), sink.reportsOf(0).stream().distinct().toList());
    }

    private void pass(Duration time) {
        pass(time, first, second);
    }

    private void pass(Duration time, Vm... connected) {
        for (Duration left = time; left.isPositive(); left = left.minusMillis(500)) {
            clock.advance(Duration.ofMillis(500));
            for (Vm vm : connected) {
                vm.publisher.publish(1);
            }
        }
    }

    private final class Vm {
        private final VmId vm;
        private final UsageLedger ledger;
        private final UsagePublisher publisher;
        private final UsageReporter reporter;
        private final ReportedWindows reported = new ReportedWindows();

        Vm(String name) {
            this(name, 0);
        }

        Vm(String name, long clockOffsetMillis) {
            ledger = new UsageLedger(
                    new WallClock(clock, () -> clock.nanoTime() / 1_000_000 + clockOffsetMillis), WINDOW);
            vm = new VmId(name);
            EraCheckedStore checked = new EraCheckedStore(store, clock);
            StoreHealth health = new StoreHealth(clock);
            Supplier<StoreEra> era = () -> checked.era().orElse(StoreEra.UNKNOWN);
            publisher = new UsagePublisher(checked, era, ledger, health, clock, vm, "lifetime " + System.nanoTime());
            reporter = new UsageReporter(checked, era, ledger, sink, health, REPORT_DEADLINE, reported);
        }

        void serve(int requests) {
            for (int request = 0; request < requests; request++) {
                ledger.countStarted(ACCOUNT);
            }
            publisher.publish(1);
        }

        /** Tells another VM the newest reported window, as the exchange of work does. */
        void tell(Vm other) {
            reported.newest().ifPresent(other.reported::record);
        }

        void report() throws InterruptedException {
            reporter.run(new DutyHolder(vm, new FencingNumber(4), () -> true));
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

        List<Long> reportsOf(long window) {
            return reports.stream()
                    .filter(report -> report.getKey() == window)
                    .map(Map.Entry::getValue)
                    .toList();
        }
    }
}
