package io.banyantally.standins.measure;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.internal.authority.Authority;
import io.banyantally.internal.authority.Scope;
import io.banyantally.internal.invariant.Invariants;
import io.banyantally.internal.membership.DirectorySynchronizer;
import io.banyantally.internal.membership.EntryVm;
import io.banyantally.internal.membership.Membership;
import io.banyantally.internal.membership.PeerChoice;
import io.banyantally.internal.orders.UpstreamChangeListener;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.routing.HoldTable;
import io.banyantally.internal.routing.UpstreamGate;
import io.banyantally.internal.routing.UpstreamHolds;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.model.FencingNumber;
import io.banyantally.platform.DirectoryEntry;
import io.banyantally.platform.VmDirectory;
import io.banyantally.platform.VmKind;
import io.banyantally.platform.VmState;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/** Membership, directory and upstream holds of one VM. */
final class MeasuredVm {

    private static final int TIMELINE_EVENTS = 100;

    final FrameCountingNetwork.Node network;
    private final Membership membership;
    private final DirectorySynchronizer directory;
    private final UpstreamHolds holds;
    private volatile boolean seesLeavingEngine;

    MeasuredVm(Peer self, FrameCountingNetwork countingNetwork, VmDirectory platform, List<EntryVm> fleet) {
        network = countingNetwork.join(self);
        network.connect(PeerChoice.choose(new EntryVm(self.vm(), self.zone()), fleet));
        MonotonicClock clock = MonotonicClock.SYSTEM;
        Timeline timeline = new Timeline(self.vm(), self.incarnation(), TIMELINE_EVENTS, event -> {});
        membership = new Membership(self, Map.of(), network, clock, timeline);
        directory = new DirectorySynchronizer(self, network, platform, clock, RandomGenerator.getDefault());
        HoldTable table = new HoldTable(clock, timeline);
        UpstreamGate gate = new UpstreamGate(table, clock, new Invariants(new MetricRegistry(), timeline));
        holds = new UpstreamHolds(self, network, clock, table, gate, directory::entryVms, Duration.ofSeconds(30));
        directory.addListener(gate::update);
        directory.addListener(this::updateSeesLeavingEngine);
    }

    private void updateSeesLeavingEngine(List<DirectoryEntry> entries) {
        seesLeavingEngine =
                entries.stream().anyMatch(entry -> entry.kind() == VmKind.ENGINE && entry.state() == VmState.LEAVING);
    }

    void start() {
        membership.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 1));
        directory.start();
        holds.start();
    }

    void stop() {
        membership.stop();
        directory.stop();
        holds.stop();
    }

    boolean seesLeavingEngine() {
        return seesLeavingEngine;
    }

    /** Returns the change listener of a scope owner whose permission never ends. */
    UpstreamChangeListener createOwnerListener() {
        return holds.ownedBy(new Authority() {
            @Override
            public Scope scope() {
                return new Scope("chat@zone-0");
            }

            @Override
            public FencingNumber fencingNumber() {
                return new FencingNumber(1);
            }

            @Override
            public boolean isGranted() {
                return true;
            }
        });
    }
}
