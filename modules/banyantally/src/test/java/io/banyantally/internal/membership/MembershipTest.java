package io.banyantally.internal.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.invariant.Promise;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import io.banyantally.testing.FakePeerHub;
import io.banyantally.testing.FaultRow;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against callers that are directed to a draining VM, or that get no address of some zone. */
final class MembershipTest {

    private final FakePeerHub hub = new FakePeerHub();
    private final List<Membership> vms = new ArrayList<>();

    private Membership start(int number, int zones) {
        Peer self =
                new Peer(new VmId("vm-" + number), Incarnation.draw(), new AvailabilityZone("zone-" + number % zones));
        Membership membership = new Membership(
                self,
                Map.of(new AvailabilityZone("zone-1"), 0.5),
                hub.join(self),
                MonotonicClock.SYSTEM,
                new Timeline(self.vm(), self.incarnation(), 100, event -> {}));
        membership.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 1_000 + number));
        vms.add(membership);
        return membership;
    }

    @AfterEach
    void stopAll() {
        vms.forEach(Membership::stop);
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long start = System.nanoTime();
        while (!condition.getAsBoolean()) {
            assertTrue(MonotonicClock.SYSTEM.since(start).toSeconds() < 20, "condition not met within 20 s");
            Thread.sleep(20);
        }
    }

    @Test
    void returnsABoundedNumberOfAddressesWithAllZonesNearestFirst() throws InterruptedException {
        for (int number = 0; number < 60; number++) {
            start(number, 10);
        }
        Membership first = vms.getFirst();
        await(() -> first.addresses(Optional.empty()).size() == Membership.MAXIMUM_ADDRESSES);
        await(() -> first.addresses(Optional.empty()).stream()
                        .map(CallerAddress::zone)
                        .distinct()
                        .count()
                == 10);
        List<String> zones = first.addresses(Optional.empty()).stream()
                .map(address -> address.zone().value())
                .distinct()
                .toList();
        assertEquals(List.of("zone-0", "zone-1"), zones.subList(0, 2));
    }

    /** Guards against callers of a large fleet that are all directed to the same few VMs. */
    @Test
    void twoVmsReturnDifferentAddressesOfALargeFleet() throws InterruptedException {
        for (int number = 0; number < 60; number++) {
            start(number, 1);
        }
        await(() -> vms.subList(0, 2).stream()
                .allMatch(vm -> vm.addresses(Optional.empty()).size() == Membership.MAXIMUM_ADDRESSES));
        assertEquals(
                2,
                vms.subList(0, 2).stream()
                        .map(vm -> vm.addresses(Optional.empty()))
                        .collect(Collectors.toSet())
                        .size());
    }

    @Test
    @FaultRow(promise = Promise.GRACEFUL_STOP, step = "leaving the addresses", fault = "none")
    void noVmReturnsTheAddressOfADrainingOne() throws InterruptedException {
        for (int number = 0; number < 4; number++) {
            start(number, 2);
        }
        await(() -> vms.stream().allMatch(vm -> vm.addresses(Optional.empty()).size() == 4));
        vms.getLast().startDraining();
        await(() -> vms.stream().allMatch(vm -> vm.addresses(Optional.empty()).size() == 3));
    }

    @Test
    @FaultRow(promise = Promise.GRACEFUL_STOP, step = "leaving the addresses", fault = "cut from all")
    void aDrainingVmThatIsCutOffIsRemovedAfterTheHeartbeatTimeout() throws InterruptedException {
        for (int number = 0; number < 4; number++) {
            start(number, 2);
        }
        await(() -> vms.stream().allMatch(vm -> vm.addresses(Optional.empty()).size() == 4));
        vms.getLast().startDraining();
        hub.isolate(new VmId("vm-3"));
        await(() -> vms.subList(0, 3).stream()
                .allMatch(vm -> vm.addresses(Optional.empty()).size() == 3));
    }
}
