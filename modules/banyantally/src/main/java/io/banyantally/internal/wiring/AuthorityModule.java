package io.banyantally.internal.wiring;

import dagger.Module;
import dagger.Provides;
import io.banyantally.internal.authority.AuthorityEnvironment;
import io.banyantally.internal.authority.AuthoritySettings;
import io.banyantally.internal.authority.CandidateRanking;
import io.banyantally.internal.authority.ProcessIdentity;
import io.banyantally.internal.authority.RendezvousRanking;
import io.banyantally.internal.authority.ScopeOwner;
import io.banyantally.internal.invariant.Invariants;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.settings.EntrySettings;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.internal.usage.UsageBuckets;
import io.banyantally.internal.usage.UsageGatherer;
import io.banyantally.internal.usage.UsageSealer;
import io.banyantally.platform.Platform;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;

/** The scopes that this VM is a candidate for. */
@Module
abstract class AuthorityModule {

    @Provides
    @Singleton
    static AuthorityEnvironment environment(Timeline timeline) {
        return AuthorityEnvironment.system(AuthoritySettings.DEFAULT, timeline);
    }

    @Provides
    @Singleton
    static CandidateRanking ranking(Peer self, PeerNetwork network) {
        return new RendezvousRanking(self.vm(), network::peers);
    }

    @Provides
    @Singleton
    static List<ScopeOwner> usageOwners(
            Platform platform,
            Peer self,
            EntrySettings settings,
            UsageGatherer gatherer,
            CandidateRanking ranking,
            AuthorityEnvironment environment,
            MonotonicClock clock,
            Invariants invariants,
            Timeline timeline) {
        return IntStream.range(0, UsageBuckets.COUNT)
                .mapToObj(bucket -> new ScopeOwner(
                        UsageBuckets.scopeOf(bucket),
                        new UsageSealer(
                                bucket,
                                Duration.ofSeconds(settings.usageWindowSeconds()),
                                platform.keyValueStore(),
                                gatherer,
                                platform.usageReports(),
                                clock,
                                invariants,
                                timeline),
                        platform.keyValueStore(),
                        ranking,
                        new ProcessIdentity(self.vm(), self.incarnation()),
                        environment))
                .toList();
    }
}
