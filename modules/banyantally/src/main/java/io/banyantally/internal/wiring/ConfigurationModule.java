package io.banyantally.internal.wiring;

import dagger.Binds;
import dagger.Module;
import dagger.Provides;
import io.banyantally.internal.configuration.ConfigurationEditor;
import io.banyantally.internal.configuration.ConfigurationExchange;
import io.banyantally.internal.configuration.ConfigurationReplica;
import io.banyantally.internal.configuration.ConfigurationStore;
import io.banyantally.internal.configuration.ConfigurationTasks;
import io.banyantally.internal.configuration.ConfigurationView;
import io.banyantally.internal.configuration.KeyGenerator;
import io.banyantally.internal.configuration.KeyVerifier;
import io.banyantally.internal.configuration.MajorityConfirmation;
import io.banyantally.internal.configuration.ManifestWatch;
import io.banyantally.internal.configuration.Pause;
import io.banyantally.internal.configuration.ReplicaKeyVerifier;
import io.banyantally.internal.configuration.RosterManager;
import io.banyantally.internal.configuration.SaltedHash;
import io.banyantally.internal.invariant.Invariants;
import io.banyantally.internal.operator.OperatorHandler;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.settings.EntrySettings;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.platform.Platform;
import jakarta.inject.Singleton;
import java.security.SecureRandom;
import java.util.concurrent.Executors;

/** Configuration, keys and the operators' interface. */
@Module
abstract class ConfigurationModule {

    @Provides
    static Pause pause() {
        return Pause.SLEEP;
    }

    @Provides
    @Singleton
    static ConfigurationReplica replica(Peer self, MonotonicClock clock, Timeline timeline, Invariants invariants) {
        return new ConfigurationReplica(self.vm(), self.incarnation(), clock, timeline, invariants);
    }

    @Binds
    abstract ConfigurationView view(ConfigurationReplica replica);

    @Provides
    @Singleton
    static KeyVerifier keyVerifier(ConfigurationReplica replica) {
        return new ReplicaKeyVerifier(replica);
    }

    @Provides
    @Singleton
    static ConfigurationStore store(Platform platform, ConfigurationReplica replica, Peer self, Pause pause) {
        return new ConfigurationStore(platform.keyValueStore(), replica, self.vm(), self.incarnation(), pause);
    }

    @Provides
    @Singleton
    static ConfigurationExchange exchange(ConfigurationReplica replica, PeerNetwork network, MonotonicClock clock) {
        return new ConfigurationExchange(replica, network, clock, Executors.newVirtualThreadPerTaskExecutor());
    }

    @Provides
    @Singleton
    static MajorityConfirmation confirmation(
            ConfigurationReplica replica, ConfigurationExchange exchange, MonotonicClock clock, Pause pause) {
        return new MajorityConfirmation(replica, exchange, clock, pause);
    }

    @Provides
    @Singleton
    static RosterManager roster(
            ConfigurationStore store, ConfigurationReplica replica, MajorityConfirmation confirmation) {
        return new RosterManager(store, replica, confirmation);
    }

    @Provides
    @Singleton
    static ConfigurationTasks tasks(
            Peer self,
            Platform platform,
            ConfigurationStore store,
            ConfigurationReplica replica,
            ConfigurationExchange exchange,
            RosterManager roster,
            MonotonicClock clock,
            Timeline timeline) {
        ManifestWatch watch = new ManifestWatch(platform.keyValueStore(), store, replica, clock);
        return new ConfigurationTasks(self, replica, exchange, watch, roster, timeline);
    }

    @Provides
    @Singleton
    static OperatorHandler operators(
            EntrySettings settings,
            ConfigurationStore store,
            MajorityConfirmation confirmation,
            ConfigurationView view,
            Timeline timeline) {
        SaltedHash token = new SaltedHash(
                settings.operatorToken().salt(), settings.operatorToken().hash());
        ConfigurationEditor editor = new ConfigurationEditor(store, confirmation, view, timeline);
        return new OperatorHandler(token, editor, new KeyGenerator(new SecureRandom()));
    }
}
