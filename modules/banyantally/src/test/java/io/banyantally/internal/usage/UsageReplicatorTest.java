package io.banyantally.internal.usage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.invariant.Promise;
import io.banyantally.platform.UsageFigures;
import io.banyantally.testing.FaultRow;
import io.banyantally.testing.StoreFault;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against the delivery of usage that no other VM has a copy of. */
final class UsageReplicatorTest {
    private final UsageSimulation simulation = new UsageSimulation();
    private final UsageVm vm = simulation.vms.get(0);

    @Test
    @FaultRow(promise = Promise.SINGLE_USAGE_REPORT, step = "before delivery", fault = "none")
    void releasesDeliveryOnlyAfterPeerInOtherZoneHasIt() {
        CommitBatch batch = vm.replicator.record(UsageSimulation.ACCOUNTS.getFirst(), new UsageFigures(1, 2, 3));
        assertFalse(batch.isReleased());
        vm.replicator.flushOnce();
        assertTrue(batch.isReleased());
        assertEquals(0, vm.replicator.tokensAtRisk());
        assertTrue(simulation.vms.stream()
                .filter(other -> !other.self.zone().equals(vm.self.zone()))
                .anyMatch(other -> holds(other, new UsageFigures(1, 2, 3))));
    }

    private boolean holds(UsageVm holder, UsageFigures figures) {
        return holder.counters
                .countersOf(vm.counters.own(), account -> true)
                .figures(vm.counters.own(), UsageSimulation.ACCOUNTS.getFirst())
                .equals(figures);
    }

    @Test
    void sharesOneMessageAmongAllStreams() {
        List<UsageStep> sent = new ArrayList<>();
        vm.replicator.record(UsageSimulation.ACCOUNTS.getFirst(), new UsageFigures(0, 1, 0));
        vm.replicator.flushOnce();
        simulation.listener = (from, step, after) -> {
            if (!after) {
                sent.add(step);
            }
            return StoreFault.NONE;
        };
        for (int i = 0; i < 1_000; i++) {
            vm.replicator.record(UsageSimulation.ACCOUNTS.get(i % 3), new UsageFigures(0, 1, 0));
        }
        vm.replicator.flushOnce();
        assertEquals(List.of(UsageStep.SEND_COUNTERS), sent);
    }

    @Test
    @FaultRow(promise = Promise.SINGLE_USAGE_REPORT, step = "before delivery", fault = "other zones silent")
    void fallsBackToSameZoneAfterTwentyMilliseconds() {
        UsageVm sameZoneVm = simulation.vms.get(3);
        long start = vm.clock.nanoTime();
        simulation.listener = (from, step, after) ->
                !after && vm.clock.since(start).compareTo(UsageReplicator.ACKNOWLEDGEMENT_LIMIT) < 0
                        ? StoreFault.LOST_REQUEST
                        : StoreFault.NONE;
        CommitBatch batch = vm.replicator.record(UsageSimulation.ACCOUNTS.getFirst(), new UsageFigures(0, 5, 1));
        vm.replicator.flushOnce();
        assertTrue(batch.isReleased());
        assertTrue(holds(sameZoneVm, new UsageFigures(0, 5, 1)));
        assertEquals(UsageReplicator.ACKNOWLEDGEMENT_LIMIT, vm.clock.since(start));
        assertEquals(0, vm.replicator.tokensAtRisk());
    }

    @Test
    @FaultRow(promise = Promise.SINGLE_USAGE_REPORT, step = "before delivery", fault = "nobody answers")
    void releasesAndCountsTokensAtRiskAfterFortyMilliseconds() {
        long start = vm.clock.nanoTime();
        simulation.listener = (from, step, after) -> StoreFault.LOST_REQUEST;
        CommitBatch batch = vm.replicator.record(UsageSimulation.ACCOUNTS.getFirst(), new UsageFigures(3, 5, 1));
        vm.replicator.flushOnce();
        assertTrue(batch.isReleased());
        assertEquals(8, vm.replicator.tokensAtRisk());
        assertEquals(UsageReplicator.ACKNOWLEDGEMENT_LIMIT.multipliedBy(2), vm.clock.since(start));
        simulation.clearFaults();
        vm.replicator.flushOnce();
        assertEquals(0, vm.replicator.tokensAtRisk());
        assertEquals(8, vm.metrics.counter("usage.tokens.released-at-risk").getCount());
    }

    @Test
    @FaultRow(promise = Promise.SINGLE_USAGE_REPORT, step = "replica", fault = "replica killed, then the VM")
    void copiesAllCountersToNewReplicaWhenOldOneIsKilled() {
        simulation.deliver(vm, UsageSimulation.ACCOUNTS.get(0), 10);
        simulation.deliver(vm, UsageSimulation.ACCOUNTS.get(1), 20);
        UsageVm replica = simulation.vms.stream()
                .filter(other -> other != vm && other.counters.origins().contains(vm.counters.own()))
                .findFirst()
                .orElseThrow();
        simulation.kill(replica);
        simulation.flush(vm);
        simulation.kill(vm);
        assertEquals(0, simulation.possibleLoss);
        simulation.sealAndReportAll();
        simulation.assertReportedUsage();
        assertEquals(30, simulation.reported());
    }

    @Test
    @FaultRow(promise = Promise.SINGLE_USAGE_REPORT, step = "replica", fault = "replica restarted unnoticed")
    void copiesAllCountersToRestartedReplica() {
        simulation.deliver(vm, UsageSimulation.ACCOUNTS.get(0), 10);
        int replica = simulation.vms.stream()
                .filter(other -> other != vm && other.counters.origins().contains(vm.counters.own()))
                .mapToInt(simulation.vms::indexOf)
                .findFirst()
                .orElseThrow();
        simulation.restart(replica);
        simulation.deliver(vm, UsageSimulation.ACCOUNTS.get(1), 20);
        simulation.kill(vm);
        assertEquals(0, simulation.possibleLoss);
    }

    @Test
    void waitsForTheFlushTaskBeforeDelivery() throws Exception {
        Thread task = Thread.ofVirtual().start(vm.replicator);
        vm.replicator.recordBeforeDelivery(UsageSimulation.ACCOUNTS.getFirst(), new UsageFigures(0, 1, 0));
        task.interrupt();
        assertTrue(task.join(Duration.ofSeconds(30)));
        assertTrue(simulation.vms.stream().anyMatch(other -> other != vm && holds(other, new UsageFigures(0, 1, 0))));
    }
}
