package io.banyantally.internal.routing;

import io.banyantally.internal.authority.Scope;
import io.banyantally.internal.orders.UpstreamChangeListener;
import io.banyantally.model.AdapterName;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ModelName;
import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import io.banyantally.model.VmId;
import io.banyantally.platform.DirectoryEntry;
import io.banyantally.platform.VmKind;
import io.banyantally.platform.VmState;
import io.banyantally.testing.FakePeerHub;
import io.banyantally.testing.ManualClock;
import io.banyantally.upstream.EngineRole;
import io.banyantally.upstream.EngineTarget;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/** Simulates six VMs that send work to one engine while the owner of its scope changes it. */
final class HoldSimulation {

    static final UpstreamId UPSTREAM = new UpstreamId("engine-1");
    static final Scope SCOPE = new Scope("chat@north");
    static final Duration DRAIN_LIMIT = Duration.ofSeconds(60);
    static final Duration STEP = Duration.ofMillis(100);
    static final EngineTarget TARGET =
            new EngineTarget(new ModelName("m"), "1", List.<AdapterName>of(), EngineRole.PREFILL);

    final ManualClock clock = new ManualClock();
    final FakePeerHub hub = new FakePeerHub();
    final Random random;
    final List<HoldSimulationVm> vms = new ArrayList<>();
    final List<String> violations = new ArrayList<>();
    Set<VmId> listedVms = new HashSet<>();
    long ownerFencingNumber;
    HoldSimulationVm ownerVm;
    UpstreamChangeListener listener;
    boolean changing;
    long changeEndsAt;
    int changes;

    HoldSimulation(long seed) {
        random = new Random(seed);
        clock.advance(Duration.ofSeconds(1));
        for (int number = 0; number < 6; number++) {
            listedVms.add(new VmId("vm-" + number));
        }
        for (int number = 0; number < 6; number++) {
            vms.add(new HoldSimulationVm(this, "vm-" + number, "zone-" + number % 3));
        }
        assignOwner(vms.getFirst());
        run(Duration.ofSeconds(1));
    }

    List<DirectoryEntry> directory() {
        return List.of(new DirectoryEntry(
                UPSTREAM.value(),
                VmKind.ENGINE,
                new AvailabilityZone("north"),
                Optional.of(new ServiceName("chat")),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                VmState.LIVE,
                false));
    }

    void assignOwner(HoldSimulationVm vm) {
        ownerVm = vm;
        ownerFencingNumber++;
        listener = vm.takeOver(ownerFencingNumber);
    }

    void run(Duration duration) {
        long end = clock.nanoTime() + duration.toNanos();
        while (clock.nanoTime() < end) {
            round(false);
        }
    }

    /** Simulates one step; the owner tries to begin a change if {@code wanted}. */
    void round(boolean wanted) {
        clock.advance(STEP);
        for (HoldSimulationVm vm : vms) {
            if (vm.isRunning()) {
                if (random.nextInt(5) == 0) {
                    vm.endWork();
                }
                vm.holds.step();
                send(vm);
            }
        }
        if (changing && clock.nanoTime() >= changeEndsAt) {
            changing = false;
            if (ownerVm.isRunning()) {
                listener.changeFinished(UPSTREAM);
            }
        } else if (wanted && !changing && ownerVm.isRunning() && listener.prepareChange(UPSTREAM, TARGET)) {
            beginChange();
        }
    }

    private void send(HoldSimulationVm vm) {
        if (vm.trySend() && changing) {
            violations.add(vm.peer.vm() + " sent work during the change");
        }
    }

    private void beginChange() {
        changes++;
        changing = true;
        changeEndsAt = clock.nanoTime() + Duration.ofSeconds(4).toNanos();
        for (HoldSimulationVm vm : vms) {
            if (!vm.killed && !vm.runningWork.isEmpty()) {
                violations.add(vm.peer.vm() + " had work running when the change began");
            }
        }
    }

    void kill(HoldSimulationVm vm) {
        vm.killed = true;
        hub.remove(vm.peer.vm());
    }

    /** Pauses a VM and isolates it from its peers. */
    void pause(HoldSimulationVm vm, Duration duration) {
        vm.pausedUntil = clock.nanoTime() + duration.toNanos();
        hub.isolate(vm.peer.vm());
    }

    void restart(HoldSimulationVm vm) {
        kill(vm);
        HoldSimulationVm next =
                new HoldSimulationVm(this, vm.peer.vm().value(), vm.peer.zone().value());
        vms.set(vms.indexOf(vm), next);
    }
}
