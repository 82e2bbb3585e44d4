package io.banyantally.internal.routing;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.internal.authority.Authority;
import io.banyantally.internal.authority.Scope;
import io.banyantally.internal.invariant.InvariantViolationException;
import io.banyantally.internal.invariant.Invariants;
import io.banyantally.internal.orders.UpstreamChangeListener;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.FencingNumber;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** One incarnation of a VM in a {@link HoldSimulation}. It sends work in each round and may own the scope. */
final class HoldSimulationVm {

    final Peer peer;
    final PeerNetwork network;
    final Invariants invariants;
    final UpstreamGate gate;
    final UpstreamHolds holds;
    final HoldTable table;
    final List<RunningWork> runningWork = new ArrayList<>();
    boolean killed;
    boolean released;
    long pausedUntil = Long.MIN_VALUE;
    private final HoldSimulation simulation;

    HoldSimulationVm(HoldSimulation simulation, String name, String zone) {
        this.simulation = simulation;
        peer = new Peer(new VmId(name), new Incarnation(simulation.random.nextLong()), new AvailabilityZone(zone));
        network = simulation.hub.join(peer);
        Timeline timeline = new Timeline(peer.vm(), peer.incarnation(), 100, event -> {});
        invariants = new Invariants(new MetricRegistry(), timeline);
        table = new HoldTable(simulation.clock, timeline);
        gate = new UpstreamGate(table, simulation.clock, invariants);
        holds = new UpstreamHolds(
                peer,
                network,
                simulation.clock,
                table,
                gate,
                () -> Optional.of(simulation.listedVms),
                HoldSimulation.DRAIN_LIMIT);
        gate.update(simulation.directory());
    }

    boolean isRunning() {
        return !killed && simulation.clock.nanoTime() >= pausedUntil;
    }

    /** Takes over the scope with a fencing number; earlier owners have lost their authority by then. */
    UpstreamChangeListener takeOver(long fencingNumber) {
        return holds.ownedBy(new Authority() {
            @Override
            public Scope scope() {
                return HoldSimulation.SCOPE;
            }

            @Override
            public FencingNumber fencingNumber() {
                return new FencingNumber(fencingNumber);
            }

            @Override
            public boolean isGranted() {
                return isRunning() && !released && simulation.ownerFencingNumber == fencingNumber;
            }
        });
    }

    /** Starts a request unless the gate refuses it; the request ends with {@link #endWork}. */
    boolean trySend() {
        try {
            Optional<RunningWork> begun = gate.tryBegin(HoldSimulation.UPSTREAM);
            begun.ifPresent(runningWork::add);
            return begun.isPresent();
        } catch (InvariantViolationException refused) {
            // The simulated router ignores holds, so the gate counts a violation and refuses the request.
            return false;
        }
    }

    void endWork() {
        runningWork.forEach(RunningWork::close);
        runningWork.clear();
    }
}
