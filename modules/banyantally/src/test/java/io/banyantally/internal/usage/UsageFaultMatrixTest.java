package io.banyantally.internal.usage;

import static org.junit.jupiter.api.Assertions.assertFalse;

import io.banyantally.internal.invariant.Promise;
import io.banyantally.model.ClientAccountId;
import io.banyantally.testing.FaultRow;
import io.banyantally.testing.StoreFault;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against tokens billed never or twice, and windows reported with different figures, under faults at each step.
 */
final class UsageFaultMatrixTest {
    private static final ClientAccountId ACCOUNT = UsageSimulation.ACCOUNTS.getFirst();
    private static final ClientAccountId OTHER_ACCOUNT = UsageSimulation.ACCOUNTS.getLast();

    private final UsageSimulation simulation = new UsageSimulation();
    private final UsageVm first = simulation.vms.get(0);

    static Stream<Arguments> singleFaults() {
        return Stream.of(UsageStep.values())
                .flatMap(step -> Stream.of(UsageFault.values()).map(fault -> Arguments.of(step, fault)));
    }

    static Stream<Arguments> pairsOfFaults() {
        List<Arguments> rows = new ArrayList<>();
        List<UsageFault> frequent = List.of(
                UsageFault.KILL_AFTER,
                UsageFault.OWNER_REPLACED_BEFORE,
                UsageFault.CUT_FROM_PEERS_AND_PLATFORM,
                UsageFault.PLATFORM_DOWN,
                UsageFault.LOST_ANSWER,
                UsageFault.LOST_REQUEST,
                UsageFault.REPLICA_KILLED_AFTER,
                UsageFault.DELIVERY_AFTER);
        for (UsageStep step : UsageStep.values()) {
            for (UsageFault one : frequent) {
                for (UsageStep otherStep : UsageStep.values()) {
                    frequent.forEach(other -> rows.add(Arguments.of(step, one, otherStep, other)));
                }
            }
        }
        return rows.stream();
    }

    @ParameterizedTest
    @MethodSource("singleFaults")
    @FaultRow(promise = Promise.SINGLE_USAGE_REPORT, step = "each step of usage", fault = "each fault")
    void reportsEveryTokenOnceUnderOneFault(UsageStep step, UsageFault fault) {
        runWithFaults(step, fault, step, UsageFault.NONE);
    }

    @ParameterizedTest
    @MethodSource("pairsOfFaults")
    @FaultRow(promise = Promise.SINGLE_USAGE_REPORT, step = "each two steps", fault = "each two frequent faults")
    void reportsEveryTokenOnceUnderTwoFaults(
            UsageStep step, UsageFault fault, UsageStep otherStep, UsageFault otherFault) {
        runWithFaults(step, fault, otherStep, otherFault);
    }

    @Test
    @FaultRow(promise = Promise.SINGLE_USAGE_REPORT, step = "open", fault = "earlier owner still believes in its lease")
    void stopsEarlierOwnerWhoseAuthorityStillAppearsGranted() throws Exception {
        simulation.acquire(first);
        simulation.runOwnerPass();
        FakeAuthority earlier = simulation.owner.orElseThrow();
        BucketSealer earlierSealer = simulation.sealer.orElseThrow();
        serveEverywhere();
        simulation.acquire(simulation.vms.get(1));
        simulation.runOwnerPass();
        earlier.granted = true;
        simulation.advanceWindow();
        earlierSealer.runPass();
        assertFalse(earlierSealer.runPass(), "the earlier owner took the bucket over again");
        simulation.sealAndReportAll();
        simulation.assertReportedUsage();
    }

    private void runWithFaults(UsageStep step, UsageFault fault, UsageStep otherStep, UsageFault otherFault) {
        simulation.acquire(first);
        serveEverywhere();
        sealOneWindow();
        List<PlannedFault> pendingFaults =
                new ArrayList<>(List.of(new PlannedFault(step, fault), new PlannedFault(otherStep, otherFault)));
        simulation.listener = (vm, at, after) -> {
            if (vm != first) {
                return StoreFault.NONE;
            }
            Optional<PlannedFault> next = pendingFaults.stream()
                    .filter(planned -> planned.step() == at && planned.isInjectedAfterStep() == after)
                    .findFirst();
            next.ifPresent(pendingFaults::remove);
            return next.isPresent() ? inject(next.get().fault()) : StoreFault.NONE;
        };
        for (int i = 0; i < 3; i++) {
            serveEverywhere();
            simulation.flushZone(first);
            sealOneWindow();
        }
        simulation.clearFaults();
        serveEverywhere();
        simulation.sealAndReportAll();
        simulation.assertReportedUsage();
    }

    private void serveEverywhere() {
        for (UsageVm vm : List.copyOf(simulation.vms)) {
            simulation.deliver(vm, ACCOUNT, 7);
            simulation.deliver(vm, OTHER_ACCOUNT, 11);
        }
    }

    private void sealOneWindow() {
        simulation.advanceWindow();
        simulation.runOwnerPass();
        simulation.runOwnerPass();
    }

    private StoreFault inject(UsageFault fault) {
        UsageVm replica = simulation.vms.get(1);
        UsageVm otherReplica = simulation.vms.get(2);
        switch (fault) {
            case KILL_BEFORE, KILL_AFTER -> simulation.kill(first);
            case RESTART_AFTER -> simulation.restart(0);
            case OWNER_REPLACED_BEFORE, OWNER_REPLACED_AFTER -> {
                simulation.acquire(otherReplica);
                // A window is due only some time after the takeover.
                simulation.runOwnerPass();
                // Makes the later owner's figures differ from those that the earlier owner is about to write.
                simulation.deliver(otherReplica, ACCOUNT, 5);
                sealOneWindow();
            }
            case CUT_LINK -> simulation.hub.cut(first.self.vm(), replica.self.vm());
            case CUT_FROM_PEERS_AND_PLATFORM -> {
                simulation.hub.isolate(first.self.vm());
                first.platformDown = true;
                simulation.acquire(otherReplica);
            }
            case PLATFORM_DOWN -> simulation.vms.forEach(vm -> vm.platformDown = true);
            case REPLICA_KILLED_AFTER -> simulation.kill(replica);
            case BOTH_KILLED_AFTER -> {
                simulation.kill(replica);
                simulation.kill(otherReplica);
            }
            case DELIVERY_BEFORE, DELIVERY_AFTER -> simulation.deliver(otherReplica, ACCOUNT, 13);
            default -> {}
        }
        return switch (fault) {
            case LOST_ANSWER -> StoreFault.LOST_ANSWER;
            case LOST_REQUEST, PLATFORM_SLOW -> StoreFault.LOST_REQUEST;
            default -> StoreFault.NONE;
        };
    }

    private record PlannedFault(UsageStep step, UsageFault fault) {
        boolean isInjectedAfterStep() {
            return fault.name().endsWith("_AFTER");
        }
    }
}
