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

/** A site of six VMs that send work to one engine while the owner of its scope changes it. */
final class HoldWorld {

    static final UpstreamId UPSTREAM = new UpstreamId("engine-1");
    static final Scope SCOPE = new Scope("chat@north");
    static final Duration DRAIN_LIMIT = Duration.ofSeconds(60);
    static final Duration STEP = Duration.ofMillis(100);
    static final EngineTarget TARGET =
            new EngineTarget(new ModelName("m"), "1", List.<AdapterName>of(), EngineRole.PREFILL);

    final ManualClock clock = new ManualClock();
    final FakePeerHub hub = new FakePeerHub();
    final Random random;
    final List<HoldVm> vms = new ArrayList<>();
    final List<String> violations = new ArrayList<>();
    Set<VmId> listed = new HashSet<>();
    long owner;
    HoldVm ownerVm;
    UpstreamChangeListener listener;
    boolean changing;
    long changeEndsAt;
    int changes;

    HoldWorld(long seed) {
        random = new Random(seed);
        clock.advance(Duration.ofSeconds(1));
        for (int number = 0; number < 6; number++) {
            listed.add(new VmId("vm-" + number));
        }
        for (int number = 0; number < 6; number++) {
            vms.add(new HoldVm(this, "vm-" + number, "zone-" + number % 3));
        }
        elect(vms.getFirst());
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

    void elect(HoldVm vm) {
        ownerVm = vm;
        owner++;
        listener = vm.own(owner);
    }

    void run(Duration duration) {
        long end = clock.nanoTime() + duration.toNanos();
        while (clock.nanoTime() < end) {
            round(false);
        }
    }

    /** One round; the owner tries to make a change if {@code wanted}. */
    void round(boolean wanted) {
        clock.advance(STEP);
        for (HoldVm vm : vms) {
            if (vm.runs()) {
                if (random.nextInt(5) == 0) {
                    vm.endWork();
                }
                vm.holds.step();
                send(vm);
            }
        }
        if (changing && clock.nanoTime() >= changeEndsAt) {
            changing = false;
            if (ownerVm.runs()) {
                listener.changeFinished(UPSTREAM);
            }
        } else if (wanted && !changing && ownerVm.runs() && listener.prepareChange(UPSTREAM, TARGET)) {
            begin();
        }
    }

    private void send(HoldVm vm) {
        if (vm.trySend() && changing) {
            violations.add(vm.peer.vm() + " sent work during the change");
        }
    }

    private void begin() {
        changes++;
        changing = true;
        changeEndsAt = clock.nanoTime() + Duration.ofSeconds(4).toNanos();
        for (HoldVm vm : vms) {
            if (!vm.killed && !vm.work.isEmpty()) {
                violations.add(vm.peer.vm() + " had work running when the change began");
            }
        }
    }

    void kill(HoldVm vm) {
        vm.killed = true;
        hub.remove(vm.peer.vm());
    }

    /** Pauses a VM; its connections stall meanwhile. */
    void pause(HoldVm vm, Duration duration) {
        vm.pausedUntil = clock.nanoTime() + duration.toNanos();
        hub.isolate(vm.peer.vm());
    }

    void restart(HoldVm vm) {
        kill(vm);
        HoldVm next = new HoldVm(this, vm.peer.vm().value(), vm.peer.zone().value());
        vms.set(vms.indexOf(vm), next);
    }
}
