package io.banyantally.internal.wiring;

import com.codahale.metrics.MetricRegistry;
import dagger.Binds;
import dagger.Module;
import dagger.Provides;
import io.banyantally.internal.authority.CandidateRanking;
import io.banyantally.internal.authority.RendezvousRanking;
import io.banyantally.internal.authority.Scope;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.usage.UsageCounters;
import io.banyantally.internal.usage.UsageGatherHandler;
import io.banyantally.internal.usage.UsageGatherer;
import io.banyantally.internal.usage.UsageRecorder;
import io.banyantally.internal.usage.UsageReplicator;
import io.banyantally.internal.usage.ZoneUsageFlush;
import io.banyantally.platform.Platform;
import jakarta.inject.Singleton;
import java.util.concurrent.Executors;

/** Provides the counting, replication and gathering of usage. */
@Module
abstract class UsageModule {

    @Provides
    @Singleton
    static UsageCounters counters(Peer self) {
        return new UsageCounters(self);
    }

    @Provides
    @Singleton
    static UsageReplicator replicator(
            PeerNetwork network, Peer self, UsageCounters counters, MonotonicClock clock, MetricRegistry metrics) {
        return new UsageReplicator(network, self, counters, clock, metrics);
    }

    @Binds
    abstract UsageRecorder recorder(UsageReplicator replicator);

    @Provides
    @Singleton
    static UsageGatherer gatherer(
            Platform platform,
            PeerNetwork network,
            Peer self,
            UsageCounters counters,
            MonotonicClock clock,
            KnownZones zones) {
        return new UsageGatherer(
                network,
                self,
                new UsageGatherHandler(network, counters),
                platform.keyValueStore(),
                zones,
                clock,
                Executors.newVirtualThreadPerTaskExecutor());
    }

    @Provides
    @Singleton
    static ZoneUsageFlush zoneFlush(
            Platform platform,
            PeerNetwork network,
            Peer self,
            UsageCounters counters,
            MonotonicClock clock,
            MetricRegistry metrics) {
        CandidateRanking ranking = new RendezvousRanking(
                self.vm(),
                () -> network.peers().stream()
                        .filter(peer -> peer.zone().equals(self.zone()))
                        .toList());
        Scope scope = new Scope("usage-flush-" + self.zone());
        return new ZoneUsageFlush(
                platform.keyValueStore(), network, self, counters, clock, () -> ranking.rank(scope) == 0, metrics);
    }
}
