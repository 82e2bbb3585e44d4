package io.banyantally.internal.membership;

import io.banyantally.internal.configuration.ReaderChoice;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.Incarnation;
import io.banyantally.model.ServiceName;
import io.banyantally.model.VmId;
import io.banyantally.platform.DirectoryEntry;
import io.banyantally.platform.InterfaceUnavailableException;
import io.banyantally.platform.PlatformException;
import io.banyantally.platform.VmKind;
import io.banyantally.platform.VmState;
import io.banyantally.testing.FakePeerHub;
import io.banyantally.testing.ManualClock;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;

/** Simulates a site of two zones whose VMs distribute the platform's VM list, with faults and one manual clock. */
final class DirectorySimulation {

    static final Duration STEP = Duration.ofMillis(50);
    static final String UPSTREAM = "engine-1";

    final ManualClock clock = new ManualClock();
    final FakePeerHub hub = new FakePeerHub();
    final Random random;
    final List<Vm> vms = new ArrayList<>();
    final Map<String, DirectoryEntry> platformEntries = new TreeMap<>();
    boolean platformDown;
    boolean losesPlatformAnswers;
    long leavingAt;

    final class Vm {
        final Peer peer;
        final PeerNetwork network;
        final DirectorySynchronizer synchronizer;
        final List<Boolean> leavingHistory = new ArrayList<>();
        boolean killed;
        boolean platformUnreachable;
        long pausedUntil = Long.MIN_VALUE;
        int platformCalls;

        Vm(String name, String zone) {
            peer = new Peer(new VmId(name), new Incarnation(random.nextLong()), new AvailabilityZone(zone));
            network = hub.join(peer);
            synchronizer = new DirectorySynchronizer(peer, network, this::list, clock, random);
            synchronizer.addListener(entries -> leavingHistory.add(isLeaving(entries)));
        }

        private List<DirectoryEntry> list() throws PlatformException {
            platformCalls++;
            if (platformDown || platformUnreachable || (losesPlatformAnswers && random.nextBoolean())) {
                throw new InterfaceUnavailableException("simulated outage");
            }
            return List.copyOf(platformEntries.values());
        }

        boolean seesUpstreamLeaving() {
            return isLeaving(synchronizer.list());
        }

        boolean isRunning() {
            return !killed && clock.nanoTime() >= pausedUntil;
        }
    }

    DirectorySimulation(long seed, int vmsInAZone) {
        random = new Random(seed);
        platformEntries.put(UPSTREAM, upstream(VmState.LIVE));
        for (int number = 0; number < vmsInAZone; number++) {
            for (String zone : List.of("north", "south")) {
                vms.add(new Vm("vm-" + zone + number, zone));
            }
        }
    }

    private static DirectoryEntry upstream(VmState state) {
        return new DirectoryEntry(
                UPSTREAM,
                VmKind.ENGINE,
                new AvailabilityZone("north"),
                Optional.of(new ServiceName("chat")),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                state,
                true);
    }

    static boolean isLeaving(List<DirectoryEntry> entries) {
        return entries.stream().anyMatch(entry -> entry.state() == VmState.LEAVING);
    }

    void startLeaving() {
        platformEntries.put(UPSTREAM, upstream(VmState.LEAVING));
        leavingAt = clock.nanoTime();
    }

    void run(Duration duration) {
        long end = clock.nanoTime() + duration.toNanos();
        while (clock.nanoTime() < end) {
            clock.advance(STEP);
            vms.stream().filter(Vm::isRunning).forEach(vm -> vm.synchronizer.step());
        }
    }

    void kill(Vm vm) {
        vm.killed = true;
        hub.remove(vm.peer.vm());
    }

    boolean isReader(Vm vm) {
        List<VmId> zone = vms.stream()
                .filter(other -> !other.killed && other.peer.zone().equals(vm.peer.zone()))
                .map(other -> other.peer.vm())
                .toList();
        return ReaderChoice.ranked(vm.peer.zone(), zone, 2).contains(vm.peer.vm());
    }
}
