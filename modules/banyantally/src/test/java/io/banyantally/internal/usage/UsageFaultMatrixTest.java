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

/** Guards against tokens that are billed never or twice, and windows with two figures, under faults at every step. */
final class UsageFaultMatrixTest {
    private static final ClientAccountId ACCOUNT = UsageWorld.ACCOUNTS.getFirst();
    private static final ClientAccountId OTHER_ACCOUNT = UsageWorld.ACCOUNTS.getLast();

    private final UsageWorld world = new UsageWorld();
    private final UsageVm first = world.vms.get(0);

    static Stream<Arguments> singleFaults() {
        return Stream.of(UsageStep.values())
                .flatMap(step -> Stream.of(UsageFault.values()).map(fault -> Arguments.of(step, fault)));
    }

    static Stream<Arguments> pairsOfFaults() {
        List<Arguments> rows = new ArrayList<>();
        List<UsageFault> frequent = List.of(
                UsageFault.KILL_AFTER,
                UsageFault.OWNER_REPLACED_BEFORE,
                UsageFault.CUT_FROM_ALL_BUT_SERVING,
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
    void stopsEarlierOwnerThatStillBelievesInItsAuthority() throws Exception {
        world.acquire(first);
        world.pass();
        FakeAuthority earlier = world.owner.orElseThrow();
        BucketSealer earlierSealer = world.sealer.orElseThrow();
        serveEverywhere();
        world.acquire(world.vms.get(1));
        world.pass();
        earlier.granted = true;
        world.advanceWindow();
        earlierSealer.pass();
        assertFalse(earlierSealer.pass(), "the earlier owner took the bucket back");
        world.settle();
        world.check();
    }

    private void runWithFaults(UsageStep step, UsageFault fault, UsageStep otherStep, UsageFault otherFault) {
        world.acquire(first);
        serveEverywhere();
        sealOneWindow();
        List<Planned> open = new ArrayList<>(List.of(new Planned(step, fault), new Planned(otherStep, otherFault)));
        world.listener = (vm, at, after) -> {
            if (vm != first) {
                return StoreFault.NONE;
            }
            Optional<Planned> next = open.stream()
                    .filter(planned -> planned.step() == at && planned.strikesAfter() == after)
                    .findFirst();
            next.ifPresent(open::remove);
            return next.isPresent() ? strike(next.get().fault()) : StoreFault.NONE;
        };
        for (int i = 0; i < 3; i++) {
            serveEverywhere();
            world.flushZone(first);
            sealOneWindow();
        }
        world.heal();
        serveEverywhere();
        world.settle();
        world.check();
    }

    private void serveEverywhere() {
        for (UsageVm vm : List.copyOf(world.vms)) {
            world.deliver(vm, ACCOUNT, 7);
            world.deliver(vm, OTHER_ACCOUNT, 11);
        }
    }

    private void sealOneWindow() {
        world.advanceWindow();
        world.pass();
        world.pass();
    }

    private StoreFault strike(UsageFault fault) {
        UsageVm replica = world.vms.get(1);
        UsageVm otherReplica = world.vms.get(2);
        switch (fault) {
            case KILL_BEFORE, KILL_AFTER -> world.kill(first);
            case RESTART_AFTER -> world.restart(0);
            case OWNER_REPLACED_BEFORE, OWNER_REPLACED_AFTER -> {
                world.acquire(otherReplica);
                // A window is due only some time after the takeover.
                world.pass();
                // The later owner's figures differ from those that the earlier one is about to write.
                world.deliver(otherReplica, ACCOUNT, 5);
                sealOneWindow();
            }
            case CUT_LINK -> world.hub.cut(first.self.vm(), replica.self.vm());
            case CUT_FROM_ALL_BUT_SERVING -> {
                world.hub.isolate(first.self.vm());
                first.platformDown = true;
                world.acquire(otherReplica);
            }
            case PLATFORM_DOWN -> world.vms.forEach(vm -> vm.platformDown = true);
            case REPLICA_KILLED_AFTER -> world.kill(replica);
            case BOTH_KILLED_AFTER -> {
                world.kill(replica);
                world.kill(otherReplica);
            }
            case DELIVERY_BEFORE, DELIVERY_AFTER -> world.deliver(otherReplica, ACCOUNT, 13);
            default -> {}
        }
        return switch (fault) {
            case LOST_ANSWER -> StoreFault.LOST_ANSWER;
            case LOST_REQUEST, PLATFORM_SLOW -> StoreFault.LOST_REQUEST;
            default -> StoreFault.NONE;
        };
    }

    private record Planned(UsageStep step, UsageFault fault) {
        boolean strikesAfter() {
            return fault.name().endsWith("_AFTER");
        }
    }
}
