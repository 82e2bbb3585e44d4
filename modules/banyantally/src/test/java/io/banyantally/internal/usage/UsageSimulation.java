package io.banyantally.internal.usage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.peer.PeerException;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ClientAccountId;
import io.banyantally.platform.InMemoryKeyValueStore;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.UsageFigures;
import io.banyantally.testing.FakePeerHub;
import io.banyantally.testing.ManualClock;
import io.banyantally.testing.ProcessKilledError;
import io.banyantally.testing.StoreFault;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

/** Four VMs in three zones, the platform and its usage interface, all driven by one thread. */
final class UsageSimulation {
    static final List<ClientAccountId> ACCOUNTS = IntStream.range(0, 1_000)
            .mapToObj(i -> new ClientAccountId("account-" + i))
            .filter(account -> UsageBuckets.of(account) == 3)
            .limit(3)
            .toList();
    static final int BUCKET = 3;
    static final Set<AvailabilityZone> ZONES = Set.of(
            new AvailabilityZone("sfax-north"), new AvailabilityZone("sfax-port"), new AvailabilityZone("sfax-campus"));

    final InMemoryKeyValueStore sharedStore = new InMemoryKeyValueStore(new ManualClock());
    final FakePeerHub hub = new FakePeerHub();
    final FakeReportSink sink = new FakeReportSink();
    final List<UsageVm> vms = new ArrayList<>();
    UsageStepListener listener = (vm, step, after) -> StoreFault.NONE;
    Optional<FakeAuthority> owner = Optional.empty();
    Optional<BucketSealer> sealer = Optional.empty();
    long delivered;
    long possibleExcess;
    long possibleLoss;
    int kills;
    private final Set<BucketSealer> activeSealers = new HashSet<>();
    private long lastFencingNumber;
    private long lastIncarnation = 100;

    UsageSimulation() {
        vms.add(new UsageVm(this, "vm-0", "sfax-north", 1));
        vms.add(new UsageVm(this, "vm-1", "sfax-port", 2));
        vms.add(new UsageVm(this, "vm-2", "sfax-campus", 3));
        vms.add(new UsageVm(this, "vm-3", "sfax-north", 4));
    }

    /** Records usage, flushes it and, if the VM is still alive then, delivers it. */
    void deliver(UsageVm vm, ClientAccountId account, long tokens) {
        if (!vm.alive) {
            return;
        }
        try {
            CommitBatch batch = vm.replicator.record(account, new UsageFigures(0, tokens, 1));
            flush(vm);
            assertTrue(batch.isReleased(), "a delivery was not released by its flush");
            delivered += tokens;
        } catch (ProcessKilledError killed) {
            possibleExcess += tokens;
        }
    }

    void flush(UsageVm vm) {
        // A replica that is killed during this flush is replaced only by the next flush.
        int before = kills;
        vm.replicator.flushOnce();
        if (vm.replicator.tokensAtRisk() == 0) {
            vm.killsAtLastReplication = before;
        }
    }

    /** Kills a VM and checks that no more of its usage is lost than the design allows. */
    void kill(UsageVm vm) {
        if (!vm.alive) {
            return;
        }
        CounterTable before = allKnownCounters();
        vm.alive = false;
        hub.remove(vm.self.vm());
        CounterTable after = allKnownCounters();
        long ownLoss = lostTokens(before, after, vm.counters.own());
        if (vm.killsAtLastReplication == kills) {
            long allowed = vm.replicator.tokensAtRisk() + maximumUnflushedTokens(vm);
            assertTrue(ownLoss <= allowed, () -> ownLoss + " tokens lost with " + vm.self + ", allowed " + allowed);
        }
        for (CounterOrigin origin : before.origins()) {
            // A VM may also hold the last copy of the counters of a VM killed before.
            possibleLoss += lostTokens(before, after, origin);
        }
        kills++;
        if (owner.isPresent() && owner.get().vm == vm) {
            owner.get().granted = false;
        }
    }

    private static long lostTokens(CounterTable before, CounterTable after, CounterOrigin origin) {
        return ACCOUNTS.stream()
                .mapToLong(account -> FigureArithmetic.tokens(FigureArithmetic.nonNegativeDifference(
                        before.figures(origin, account), after.figures(origin, account))))
                .sum();
    }

    /** Returns the counters of the live VMs, the stored flushes and the sealed windows, merged. */
    private CounterTable allKnownCounters() {
        CounterTable known = new CounterTable();
        for (UsageVm vm : vms) {
            if (vm.alive) {
                vm.counters
                        .origins()
                        .forEach(origin -> known.mergeAll(vm.counters.countersOf(origin, account -> true)));
            }
        }
        for (AvailabilityZone zone : ZONES) {
            try {
                var stored = sharedStore.get(ZoneUsageFlush.keyOf(zone, BUCKET));
                if (stored.isPresent()) {
                    known.mergeAll(ZoneFlushRecord.decode(stored.get().value()).counters());
                }
            } catch (PeerException malformed) {
                throw new AssertionError(malformed);
            }
        }
        known.mergeAll(lastSealed().billed());
        return known;
    }

    /** Returns an upper bound for the tokens of a flush that a kill interrupts; they were not delivered. */
    private static long maximumUnflushedTokens(UsageVm vm) {
        return vm.counters.ownCounters(ACCOUNTS).row(vm.counters.own()).values().stream()
                                .mapToLong(FigureArithmetic::tokens)
                                .sum()
                        == 0
                ? 0
                : UsageScheduleTest.MAXIMUM_DELIVERY_TOKENS;
    }

    SealedWindow lastSealed() {
        WindowStore store = new WindowStore(sharedStore, BUCKET);
        SealedWindow last = SealedWindow.NONE;
        try {
            for (long window = 1; ; window++) {
                Optional<SealedWindow> next = store.readSealed(window);
                if (next.isEmpty()) {
                    return last;
                }
                last = next.get();
            }
        } catch (StoreException impossible) {
            throw new AssertionError(impossible);
        }
    }

    UsageVm restart(int index) {
        UsageVm old = vms.get(index);
        kill(old);
        UsageVm next = new UsageVm(this, old.self.vm().value(), old.self.zone().value(), lastIncarnation++);
        vms.set(index, next);
        return next;
    }

    /** Makes a VM the owner of the bucket; the authority of the earlier owner has ended by then. */
    void acquire(UsageVm vm) {
        owner.ifPresent(earlier -> earlier.granted = false);
        FakeAuthority authority = new FakeAuthority(vm, ++lastFencingNumber);
        owner = Optional.of(authority);
        sealer = Optional.of(vm.sealerFor(authority));
    }

    /** Fails if a VM begins a report after its authority ended. */
    void requireOwner(UsageVm vm) {
        assertTrue(
                owner.filter(current -> current.vm == vm && current.granted).isPresent(), "reported without authority");
    }

    void runOwnerPass() {
        if (sealer.isEmpty() || !owner.orElseThrow().vm.alive) {
            return;
        }
        BucketSealer current = sealer.get();
        if (!activeSealers.add(current)) {
            // An owner's passes never overlap, since one task runs them.
            return;
        }
        try {
            current.runPass();
        } catch (ProcessKilledError killed) {
            // The owner was killed; the next owner continues from the stored records.
        } catch (InterruptedException interrupted) {
            throw new AssertionError(interrupted);
        } finally {
            activeSealers.remove(current);
        }
    }

    void flushZone(UsageVm vm) {
        if (!vm.alive) {
            return;
        }
        try {
            vm.flush.flushOnce();
        } catch (StoreException | ProcessKilledError failed) {
            // The next flush includes this one.
        }
    }

    void advanceWindow() {
        vms.forEach(vm -> vm.clock.advance(UsageSealer.WINDOW));
    }

    void clearFaults() {
        listener = (vm, step, after) -> StoreFault.NONE;
        hub.restoreAll();
        vms.forEach(vm -> {
            vm.platformDown = false;
            vm.clock.advance(ReplicaSelector.SUSPENSION);
        });
    }

    /** Lets a new owner seal and report all usage that the live VMs know. */
    void sealAndReportAll() {
        clearFaults();
        vms.stream().filter(vm -> vm.alive).forEach(this::flush);
        acquire(vms.stream().filter(vm -> vm.alive).findFirst().orElseThrow());
        for (int i = 0; i < 3; i++) {
            runOwnerPass();
            advanceWindow();
            runOwnerPass();
        }
    }

    long reported() {
        return ACCOUNTS.stream()
                .mapToLong(account -> FigureArithmetic.tokens(sink.total(account)))
                .sum();
    }

    /** Checks that the reported usage equals the delivered usage, within the bounds that kills allow. */
    void assertReportedUsage() {
        long reported = reported();
        assertTrue(
                reported >= delivered - possibleLoss && reported <= delivered + possibleExcess,
                () -> "reported " + reported + ", delivered " + delivered + ", possible loss " + possibleLoss
                        + ", possible excess " + possibleExcess);
        long sealed = 0;
        try {
            WindowStore store = new WindowStore(sharedStore, BUCKET);
            for (long window = 1; window <= lastSealed().window(); window++) {
                for (var entry : store.requireSealed(window).figures().entrySet()) {
                    sealed += FigureArithmetic.tokens(entry.getValue().figures());
                    assertEquals(
                            entry.getValue().figures(),
                            sink.reports
                                    .get(new FakeReportSink.Key(entry.getKey(), window))
                                    .figures());
                }
            }
        } catch (StoreException impossible) {
            throw new AssertionError(impossible);
        }
        assertEquals(sealed, reported);
        vms.forEach(vm -> assertEquals(0, vm.violations()));
    }
}
