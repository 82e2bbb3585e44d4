package io.banyantally.internal.usage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.invariant.Promise;
import io.banyantally.model.ClientAccountId;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import io.banyantally.platform.KeyValueStore;
import io.banyantally.platform.UsageFigures;
import io.banyantally.testing.FaultRow;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against counters that are billed twice, or never, when their process stops answering or returns. */
final class WindowSealingTest {
    private static final ClientAccountId ACCOUNT = UsageSimulation.ACCOUNTS.getFirst();
    private static final CounterOrigin ONE = new CounterOrigin(new VmId("vm-1"), new Incarnation(1));
    private static final CounterOrigin OTHER = new CounterOrigin(new VmId("vm-2"), new Incarnation(2));

    private final Map<Long, SealedWindow> records = new HashMap<>(Map.of(0L, SealedWindow.NONE));
    private SealedWindow last = SealedWindow.NONE;

    private SealedWindow seal(CounterTable counters, Set<CounterOrigin> answered, Set<CounterOrigin> outOfTouch)
            throws Exception {
        last = SealedWindowCodec.decode(SealedWindowCodec.encode(
                WindowSealing.seal(last, new GatheredCounters(counters, answered, outOfTouch), records::get)));
        records.put(last.window(), last);
        return last;
    }

    private static CounterTable counted(CounterOrigin origin, long tokens) {
        CounterTable table = new CounterTable();
        table.merge(origin, ACCOUNT, new UsageFigures(0, tokens, 0));
        return table;
    }

    private long figures() {
        return last.figures()
                .getOrDefault(ACCOUNT, SealedFigures.NONE)
                .figures()
                .outputTokens();
    }

    private long late() {
        return last.figures().getOrDefault(ACCOUNT, SealedFigures.NONE).late().outputTokens();
    }

    private void sealInactiveWindows(long windows) throws Exception {
        for (long i = 0; i < windows; i++) {
            seal(new CounterTable(), Set.of(OTHER), Set.of());
        }
    }

    @Test
    @FaultRow(promise = Promise.SINGLE_USAGE_REPORT, step = "seal", fault = "counters arrive after sealing")
    void billsLateCountersInNextWindowAndMarksThem() throws Exception {
        seal(counted(ONE, 10), Set.of(ONE), Set.of());
        assertEquals(10, figures());
        seal(new CounterTable(), Set.of(OTHER), Set.of());
        assertEquals(0, figures());
        seal(counted(ONE, 25), Set.of(ONE, OTHER), Set.of());
        assertEquals(15, figures());
        assertEquals(15, late());
        seal(counted(ONE, 30), Set.of(ONE, OTHER), Set.of());
        assertEquals(5, figures());
        assertEquals(0, late());
    }

    @Test
    @FaultRow(promise = Promise.SINGLE_USAGE_REPORT, step = "seal", fault = "process returns after its tombstone")
    void billsOnlyNewUsageOfProcessThatReturnsAfterItsTombstone() throws Exception {
        seal(counted(ONE, 10), Set.of(ONE), Set.of());
        sealInactiveWindows(SealedWindow.INACTIVE_WINDOWS_BEFORE_TOMBSTONE);
        assertTrue(last.tombstones().containsKey(ONE));
        assertFalse(last.billed().contains(ONE));
        seal(counted(ONE, 10), Set.of(OTHER), Set.of());
        assertEquals(0, figures());
        seal(counted(ONE, 17), Set.of(ONE, OTHER), Set.of());
        assertEquals(7, figures());
        assertFalse(last.tombstones().containsKey(ONE));
        seal(counted(ONE, 17), Set.of(ONE, OTHER), Set.of());
        assertEquals(0, figures());
    }

    @Test
    @FaultRow(promise = Promise.SINGLE_USAGE_REPORT, step = "seal", fault = "copy outlives the tombstone")
    void keepsTombstoneWhileAProcessHoldsTheCounters() throws Exception {
        seal(counted(ONE, 10), Set.of(ONE), Set.of());
        sealInactiveWindows(SealedWindow.INACTIVE_WINDOWS_BEFORE_TOMBSTONE);
        for (long i = 0; i < SealedWindow.TOMBSTONE_WINDOWS + 10; i++) {
            seal(counted(ONE, 10), Set.of(OTHER), Set.of());
            assertEquals(0, figures());
        }
        assertTrue(last.tombstones().containsKey(ONE));
        seal(new CounterTable(), Set.of(OTHER), Set.of());
        assertFalse(last.tombstones().containsKey(ONE));
    }

    @Test
    @FaultRow(promise = Promise.SINGLE_USAGE_REPORT, step = "seal", fault = "VM cut off for longer than 24 h returns")
    void billsOnlyIncreasesOfStaleCountersAfterTombstoneWasRemoved() throws Exception {
        seal(counted(ONE, 10), Set.of(ONE), Set.of());
        sealInactiveWindows(SealedWindow.TOMBSTONE_WINDOWS + 20);
        assertFalse(last.tombstones().containsKey(ONE));
        seal(counted(ONE, 12), Set.of(ONE, OTHER), Set.of(ONE));
        assertEquals(0, figures());
        seal(counted(ONE, 20), Set.of(ONE, OTHER), Set.of());
        assertEquals(8, figures());
    }

    @Test
    @FaultRow(promise = Promise.SINGLE_USAGE_REPORT, step = "seal", fault = "only an old copy is found")
    void neverLowersBilledCountersWhenOnlyOldCopyIsFound() throws Exception {
        seal(counted(ONE, 10), Set.of(ONE), Set.of());
        seal(counted(ONE, 4), Set.of(), Set.of());
        assertEquals(0, figures());
        seal(counted(ONE, 11), Set.of(ONE), Set.of());
        assertEquals(1, figures());
    }

    @Test
    void keepsRecordBelowLimitAtThirteenThousandAccounts() throws Exception {
        CounterTable table = new CounterTable();
        int accounts = 0;
        for (int i = 0; i < 13_000; i++) {
            ClientAccountId account = new ClientAccountId("client-account-" + i);
            if (UsageBuckets.of(account) != UsageSimulation.BUCKET) {
                continue;
            }
            accounts++;
            for (int vm = 0; vm < 7; vm++) {
                table.merge(
                        new CounterOrigin(new VmId("entry-vm-" + vm), new Incarnation(1L << 62 | vm)),
                        account,
                        new UsageFigures(1_000_000_000_000L, 100_000_000_000L, 1_000_000_000L));
            }
        }
        seal(table, table.origins(), Set.of());
        int bytes = SealedWindowCodec.encode(last).length;
        assertTrue(accounts > 700 && accounts < 930, "accounts " + accounts);
        assertTrue(bytes < KeyValueStore.MAXIMUM_VALUE_BYTES, "bytes " + bytes);
    }

    @Test
    void keepsTombstonesSmallEnoughForADayOfRestarts() throws Exception {
        seal(counted(ONE, 10), Set.of(ONE), Set.of());
        int without = SealedWindowCodec.encode(last).length;
        Map<CounterOrigin, Long> tombstones = new HashMap<>();
        for (int i = 0; i < 3_900; i++) {
            tombstones.put(new CounterOrigin(new VmId("entry-vm-" + i), new Incarnation(1L << 62 | i)), 1_000_000L + i);
        }
        SealedWindow withTombstones = new SealedWindow(
                last.window(), last.figures(), last.billed(), last.answered(), last.inactiveWindows(), tombstones);
        int bytes = SealedWindowCodec.encode(withTombstones).length - without;
        assertTrue(bytes <= 28 * 3_900, "bytes " + bytes);
    }

    @Test
    void dropsCopiesThatWereBilledInEveryBucket() {
        UsageSimulation simulation = new UsageSimulation();
        UsageVm vm = simulation.vms.get(0);
        simulation.deliver(vm, ACCOUNT, 10);
        UsageVm replica = simulation.vms.stream()
                .filter(other -> other != vm && other.counters.origins().contains(vm.counters.own()))
                .findFirst()
                .orElseThrow();
        for (int answers = 0; answers < UsageCounters.ACCEPTED_ANSWERS_BEFORE_DROP; answers++) {
            assertTrue(replica.counters.origins().contains(vm.counters.own()));
            for (int bucket = 0; bucket < UsageBuckets.COUNT; bucket++) {
                replica.counters.countAcceptedAnswer(bucket);
            }
        }
        assertFalse(replica.counters.origins().contains(vm.counters.own()));
        assertTrue(replica.counters.origins().contains(replica.counters.own()));
    }
}
