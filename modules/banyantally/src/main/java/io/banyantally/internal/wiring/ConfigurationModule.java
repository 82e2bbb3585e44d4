package io.banyantally.internal.wiring;

import dagger.Module;
import dagger.Provides;
import io.banyantally.internal.configuration.ConfigurationPart;
import io.banyantally.internal.configuration.ConfigurationReplica;
import io.banyantally.internal.configuration.ConfigurationView;
import io.banyantally.internal.configuration.KeyGenerator;
import io.banyantally.internal.configuration.KeyVerifier;
import io.banyantally.internal.configuration.Pause;
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

/** Provides the configuration, the verification of keys and the operators' interface. */
@Module
abstract class ConfigurationModule {

    @Provides
    @Singleton
    static ConfigurationPart part(
            Peer self,
            Platform platform,
            PeerNetwork network,
            MonotonicClock clock,
            Timeline timeline,
            Invariants invariants) {
        return new ConfigurationPart(
                self,
                platform.keyValueStore(),
                network,
                clock,
                timeline,
                invariants,
                Thread::startVirtualThread,
                Pause.SLEEP);
    }

    @Provides
    static ConfigurationReplica replica(ConfigurationPart part) {
        return part.replica();
    }

    @Provides
    static ConfigurationView view(ConfigurationPart part) {
        return part.view();
    }

    @Provides
    static KeyVerifier keyVerifier(ConfigurationPart part) {
        return part.keyVerifier();
    }

    @Provides
    static RosterManager roster(ConfigurationPart part) {
        return part.roster();
    }

    @Provides
    @Singleton
    static OperatorHandler operators(EntrySettings settings, ConfigurationPart part) {
        SaltedHash token = new SaltedHash(
                settings.operatorToken().salt(), settings.operatorToken().hash());
        return new OperatorHandler(token, part.editor(), new KeyGenerator(new SecureRandom()));
    }
}
