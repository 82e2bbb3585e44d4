package io.banyantally.internal.wiring;

import dagger.Module;
import dagger.Provides;
import io.banyantally.internal.authority.AuthorityEnvironment;
import io.banyantally.internal.authority.AuthoritySettings;
import io.banyantally.internal.authority.CandidateRanking;
import io.banyantally.internal.authority.ProcessIdentity;
import io.banyantally.internal.authority.Scope;
import io.banyantally.internal.authority.ScopeManager;
import io.banyantally.internal.authority.ScopeTask;
import io.banyantally.internal.configuration.ConfigurationView;
import io.banyantally.internal.fleet.ConfiguredScopes;
import io.banyantally.internal.fleet.FleetController;
import io.banyantally.internal.fleet.FleetScopes;
import io.banyantally.internal.membership.DirectorySynchronizer;
import io.banyantally.internal.membership.ReaderRanking;
import io.banyantally.internal.membership.RosterReconciler;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.settings.EntrySettings;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.platform.Platform;
import jakarta.inject.Singleton;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Provides the manager of the scopes that this VM is a candidate to own. */
@Module
abstract class AuthorityModule {

    @Provides
    @Singleton
    static AuthorityEnvironment environment(Timeline timeline) {
        return AuthorityEnvironment.system(AuthoritySettings.DEFAULT, timeline);
    }

    @Provides
    @Singleton
    static CandidateRanking ranking(Peer self, PeerNetwork network, DirectorySynchronizer directory) {
        return new ReaderRanking(
                self, network::peers, () -> directory.entryVms().map(Set::size).orElse(0));
    }

    @Provides
    @Singleton
    static ScopeManager scopes(
            Platform platform,
            Peer self,
            EntrySettings settings,
            ConfigurationView configuration,
            KnownZones zones,
            FleetController fleet,
            OrderTasks orders,
            UsageTasks usage,
            RosterReconciler roster,
            CandidateRanking ranking,
            AuthorityEnvironment environment) {
        Map<Scope, ScopeTask> fixed = new HashMap<>(usage.byScope());
        fixed.put(FleetScopes.ROSTER, roster);
        ConfiguredScopes configured = new ConfiguredScopes(configuration, zones, fleet::planTask, orders, fixed);
        return new ScopeManager(
                settings.fleet().enabled() ? configured : () -> fixed,
                platform.keyValueStore(),
                ranking,
                new ProcessIdentity(self.vm(), self.incarnation()),
                environment);
    }
}
