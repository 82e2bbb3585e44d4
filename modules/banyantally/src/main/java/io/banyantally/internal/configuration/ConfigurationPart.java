package io.banyantally.internal.configuration;

import io.banyantally.internal.invariant.Invariants;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.platform.KeyValueStore;
import java.util.concurrent.Executor;

/** The configuration of one VM, put together: replica, store, exchange with peers, editor, roster and tasks. */
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
     * Creates the part and sets its peer topics; its tasks run between {@link #start()} and {@link #stop()}.
     *
     * @param executor runs requests to several peers at a time; in production one virtual thread for each
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

    /** Starts to follow the platform and the peers, and has this VM added to the roster. */
    public void start() {
        tasks.start();
    }

    /** Stops the tasks and waits for them. */
    public void stop() throws InterruptedException {
        tasks.stop();
    }

    /** Returns the configuration in force. */
    public ConfigurationView view() {
        return replica;
    }

    /** Returns the replica, which also tells whether keyed requests may be served. */
    public ConfigurationReplica replica() {
        return replica;
    }

    /** Returns the check of callers' keys. */
    public KeyVerifier keyVerifier() {
        return keyVerifier;
    }

    /** Returns what carries out operators' changes. */
    public ConfigurationEditor editor() {
        return editor;
    }

    /** Returns what changes the roster. */
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
