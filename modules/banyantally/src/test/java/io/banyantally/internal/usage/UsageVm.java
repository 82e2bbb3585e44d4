package io.banyantally.internal.usage;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.internal.invariant.Invariants;
import io.banyantally.internal.invariant.Promise;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.peer.PeerRequestHandler;
import io.banyantally.internal.peer.Topic;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import io.banyantally.platform.StoreKey;
import io.banyantally.testing.FaultyKeyValueStore;
import io.banyantally.testing.ManualClock;
import io.banyantally.testing.ProcessKilledError;
import io.banyantally.testing.StoreFault;
import io.banyantally.testing.StoreOperation;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** A simulated process that counts, replicates and seals usage. */
final class UsageVm implements PeerNetwork {
    final Peer self;
    final ManualClock clock = new ManualClock();
    final UsageCounters counters;
    final UsageReplicator replicator;
    final ZoneUsageFlush flush;
    final FaultyKeyValueStore store;
    final Invariants invariants;
    final MetricRegistry metrics = new MetricRegistry();
    private final UsageSealer sealer;
    private final UsageSimulation simulation;
    private final PeerNetwork network;
    boolean alive = true;
    boolean platformDown;
    int killsAtLastReplication;

    UsageVm(UsageSimulation simulation, String id, String zone, long incarnation) {
        this.simulation = simulation;
        self = new Peer(new VmId(id), new Incarnation(incarnation), new AvailabilityZone(zone));
        network = simulation.hub.join(self);
        store = new FaultyKeyValueStore(simulation.sharedStore);
        store.setPlan(this::decideStoreFault);
        Timeline timeline = new Timeline(self.vm(), self.incarnation(), 100, event -> {});
        invariants = new Invariants(metrics, timeline);
        counters = new UsageCounters(self);
        replicator = new UsageReplicator(this, self, counters, clock, metrics);
        UsageGatherHandler handler = new UsageGatherHandler(this, counters);
        flush = new ZoneUsageFlush(store, this, self, counters, clock, () -> true, metrics);
        sealer = new UsageSealer(
                UsageSimulation.BUCKET,
                UsageSealer.WINDOW,
                store,
                new UsageGatherer(this, self, handler, store, () -> UsageSimulation.ZONES, clock, Runnable::run),
                (report, fencingNumber) -> {
                    simulation.requireOwner(this);
                    simulation.sink.report(this, report, simulation.listener);
                },
                clock,
                invariants,
                timeline);
    }

    BucketSealer sealerFor(FakeAuthority authority) {
        return sealer.sealerFor(authority);
    }

    StoreFault faultAt(UsageStep step, boolean after, UsageStepListener listener) {
        if (!alive) {
            throw new ProcessKilledError();
        }
        StoreFault fault = listener.faultAt(this, step, after);
        if (!alive) {
            throw new ProcessKilledError();
        }
        return fault;
    }

    private StoreFault decideStoreFault(StoreOperation operation, Optional<StoreKey> key, boolean after) {
        boolean write = operation == StoreOperation.COMPARE_AND_SWAP;
        String path = key.orElseThrow().path();
        UsageStep step;
        if (path.startsWith("usage-flush/")) {
            step = write ? UsageStep.WRITE_FLUSH : UsageStep.READ_FLUSH;
        } else if (path.endsWith("/open")) {
            step = write ? UsageStep.WRITE_OPEN : UsageStep.READ_OPEN;
        } else {
            step = write ? UsageStep.WRITE_SEALED : UsageStep.READ_SEALED;
        }
        StoreFault fault = faultAt(step, after, simulation.listener);
        return platformDown ? StoreFault.UNAVAILABLE : fault;
    }

    @Override
    public void handle(Topic topic, PeerRequestHandler handler) {
        network.handle(topic, handler);
    }

    @Override
    public byte[] request(VmId peer, Topic topic, byte[] payload, Duration timeout) throws PeerException {
        UsageStep step = topic.equals(UsageReplicator.TOPIC) ? UsageStep.SEND_COUNTERS : UsageStep.GATHER;
        StoreFault fault = faultAt(step, false, simulation.listener);
        if (fault == StoreFault.UNAVAILABLE || fault == StoreFault.LOST_REQUEST) {
            clock.advance(timeout);
            throw new PeerException("request lost");
        }
        byte[] answer = network.request(peer, topic, payload, timeout);
        faultAt(step, true, simulation.listener);
        if (fault == StoreFault.LOST_ANSWER) {
            clock.advance(timeout);
            throw new PeerException("answer lost");
        }
        return answer;
    }

    @Override
    public List<Peer> peers() {
        return network.peers();
    }

    long violations() {
        return invariants.violations(Promise.SINGLE_USAGE_REPORT);
    }
}
