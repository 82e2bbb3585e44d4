package io.banyantally.internal.configuration;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.internal.invariant.Invariants;
import io.banyantally.internal.invariant.Promise;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.peer.PeerRequestHandler;
import io.banyantally.internal.peer.Topic;
import io.banyantally.internal.timeline.Event;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.model.VmId;
import io.banyantally.testing.FaultyKeyValueStore;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** One incarnation of a VM in a {@link TestSite}; the test runs its tasks explicitly. */
final class TestVm {

    private final TestSite site;
    private final Peer self;
    private final long clockOffset;
    private final Timeline timeline;
    private final Invariants invariants;
    final FaultyKeyValueStore store;
    final ConfigurationPart part;
    private boolean paused;
    private boolean killed;

    TestVm(TestSite site, Peer self, long clockOffset) {
        this.site = site;
        this.self = self;
        this.clockOffset = clockOffset;
        store = new FaultyKeyValueStore(site.store);
        timeline = new Timeline(self.vm(), self.incarnation(), 100, event -> {});
        invariants = new Invariants(new MetricRegistry(), timeline);
        part = new ConfigurationPart(
                self,
                store,
                new PausableNetwork(site.hub.join(self)),
                this::nanoTime,
                timeline,
                invariants,
                Runnable::run,
                duration -> site.advanceDuringWait());
    }

    /** Reads this VM's own clock, whose origin differs from that of the other VMs. */
    long nanoTime() {
        site.clock.advance(site.clockStep);
        return site.clock.nanoTime() + clockOffset;
    }

    VmId id() {
        return self.vm();
    }

    Peer self() {
        return self;
    }

    ConfigurationReplica replica() {
        return part.replica();
    }

    List<Event> events() {
        return timeline.recent();
    }

    void setPaused(boolean nowPaused) {
        paused = nowPaused;
    }

    /** Ends the process: its next call to the platform or a peer throws {@link KilledException}. */
    void kill() {
        killed = true;
        store.setPlan((operation, key, after) -> {
            throw new KilledException();
        });
    }

    boolean isKilled() {
        return killed;
    }

    long revertViolations() {
        return invariants.violations(Promise.CONFIGURATION_NEVER_REVERTS);
    }

    /** Runs each task of the VM once. */
    void runTasksOnce() {
        if (!paused && !killed) {
            runUntilKilled(this::runTasks);
        }
    }

    /** Runs {@code work}, and ignores the exception that a kill of this VM during the work raises. */
    void runUntilKilled(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException failure) {
            // Concurrent requests to peers wrap KilledException, so its type can't be checked here.
            if (!killed) {
                throw failure;
            }
        }
    }

    private void runTasks() {
        part.tasks().refreshPeers();
        if (part.tasks().isReader()) {
            part.watch().step(Duration.ZERO);
        }
        for (Peer peer : part.exchange().peers()) {
            if (part.tasks().isProofSource(peer.vm())) {
                part.exchange().queryPeer(peer.vm());
            }
        }
    }

    /** Returns whether the VM would serve a request with a key now. */
    boolean serves(String key) {
        try {
            part.keyVerifier().verify(Optional.of("Bearer " + key));
            return true;
        } catch (KeyRefusedException refused) {
            return false;
        }
    }

    KeyRefusedException.Reason refusalReason(String key) {
        try {
            part.keyVerifier().verify(Optional.of("Bearer " + key));
            throw new AssertionError(id() + " serves the key");
        } catch (KeyRefusedException refused) {
            return refused.reason();
        }
    }

    /** Rejects requests from peers while the VM is paused, and aborts calls of a killed VM. */
    private final class PausableNetwork implements PeerNetwork {

        private final PeerNetwork network;

        PausableNetwork(PeerNetwork network) {
            this.network = network;
        }

        @Override
        public void handle(Topic topic, PeerRequestHandler handler) {
            network.handle(topic, (sender, payload) -> {
                if (paused) {
                    throw new PeerException(id() + " is paused");
                }
                try {
                    return handler.handle(sender, payload);
                } catch (RuntimeException failure) {
                    if (killed) {
                        throw new PeerException(id() + " was killed", failure);
                    }
                    throw failure;
                }
            });
        }

        @Override
        public byte[] request(VmId peer, Topic topic, byte[] payload, Duration timeout) throws PeerException {
            site.beforeRequest.accept(id(), topic);
            endIfKilled();
            byte[] answer = network.request(peer, topic, payload, timeout);
            site.afterRequest.accept(id(), topic);
            endIfKilled();
            return answer;
        }

        private void endIfKilled() {
            if (killed) {
                throw new KilledException();
            }
        }

        @Override
        public List<Peer> peers() {
            return network.peers();
        }
    }
}
