package io.banyantally.internal.configuration;

import io.banyantally.internal.invariant.Invariants;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.platform.KeyValueStore;
import java.util.concurrent.Executor;

/** Wires the configuration components of one VM: replica, store, exchange with peers, editor, roster and tasks. */
public final class ConfigurationPart {

    private final ConfigurationReplica replica;
    private final ConfigurationStore store;
    private final ConfigurationExchange exchange;
    private final ManifestWatch watch;
    private final ConfigurationEditor editor;
    private final RosterManager roster;
    private final KeyVerifier keyVerifier;
    private final ConfigurationTasks tasks;

    /**
     * Creates the components and registers their peer request handlers; the background tasks run between
     * {@link #start()} and {@link #stop()}.
     *
     * @param executor runs concurrent requests to peers; in production on one virtual thread each
     */
    public ConfigurationPart(
            Peer self,
            KeyValueStore keyValueStore,
            PeerNetwork network,
            MonotonicClock clock,
            Timeline timeline,
            Invariants invariants,
            Executor executor,
            Pause pause) {
        replica = new ConfigurationReplica(self.vm(), self.incarnation(), clock, timeline, invariants);
        store = new ConfigurationStore(keyValueStore, replica, self.vm(), self.incarnation(), pause);
        exchange = new ConfigurationExchange(replica, network, clock, executor);
        MajorityConfirmation confirmation = new MajorityConfirmation(replica, exchange, clock, pause);
        editor = new ConfigurationEditor(store, confirmation, replica, timeline);
        roster = new RosterManager(store, replica, confirmation);
        watch = new ManifestWatch(keyValueStore, store, replica, clock);
        keyVerifier = new ReplicaKeyVerifier(replica);
        tasks = new ConfigurationTasks(self, replica, exchange, watch, roster, timeline);
    }

    /** Starts the tasks that track the platform and the peers, and that add this VM to the roster. */
    public void start() {
        tasks.start();
    }

    /** Stops the tasks and waits up to 2 s for each. */
    public void stop() throws InterruptedException {
        tasks.stop();
    }

    /** Returns read access to the configuration in force. */
    public ConfigurationView view() {
        return replica;
    }

    /** Returns the replica, which also tells whether authenticated requests may be served. */
    public ConfigurationReplica replica() {
        return replica;
    }

    /** Returns the verifier of callers' API keys. */
    public KeyVerifier keyVerifier() {
        return keyVerifier;
    }

    /** Returns the editor, which executes operators' changes. */
    public ConfigurationEditor editor() {
        return editor;
    }

    /** Returns the manager, which adds VMs to the roster and removes them. */
    public RosterManager roster() {
        return roster;
    }

    ConfigurationStore store() {
        return store;
    }

    ConfigurationExchange exchange() {
        return exchange;
    }

    ManifestWatch watch() {
        return watch;
    }

    ConfigurationTasks tasks() {
        return tasks;
    }
}
