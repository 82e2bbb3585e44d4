package io.banyantally.internal.wiring;

import com.codahale.metrics.MetricRegistry;
import dagger.Binds;
import dagger.Module;
import dagger.Provides;
import io.banyantally.internal.invariant.Invariants;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.membership.DirectorySynchronizer;
import io.banyantally.internal.membership.EntryVm;
import io.banyantally.internal.membership.Membership;
import io.banyantally.internal.membership.PeerSelection;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.peer.TcpPeerNetwork;
import io.banyantally.internal.settings.EntrySettings;
import io.banyantally.internal.settings.PeerSeed;
import io.banyantally.internal.settings.ZoneDistance;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.internal.timeline.TimelineGatherer;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import io.banyantally.platform.Platform;
import jakarta.inject.Singleton;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/** Provides the clock, the event time line, metrics, the peer network and membership. */
@Module
abstract class CoreModule {

    @Provides
    @Singleton
    static MonotonicClock clock() {
        return MonotonicClock.SYSTEM;
    }

    @Provides
    @Singleton
    static Peer self(EntrySettings settings) {
        return new Peer(settings.vm(), Incarnation.draw(), settings.zone());
    }

    @Provides
    @Singleton
    static MetricRegistry metrics() {
        return new MetricRegistry();
    }

    @Provides
    @Singleton
    static Timeline timeline(Peer self) {
        EventLog log = EventLog.of(Timeline.class);
        return new Timeline(self.vm(), self.incarnation(), Timeline.DEFAULT_CAPACITY, log::timeline);
    }

    @Provides
    @Singleton
    static Invariants invariants(MetricRegistry metrics, Timeline timeline) {
        return new Invariants(metrics, timeline);
    }

    @Provides
    @Singleton
    static TcpPeerNetwork network(Peer self, EntrySettings settings, MonotonicClock clock) {
        return new TcpPeerNetwork(self, settings.site(), settings.peers(), clock);
    }

    @Binds
    abstract PeerNetwork peerNetwork(TcpPeerNetwork network);

    @Provides
    @Singleton
    static Membership membership(
            Peer self, EntrySettings settings, PeerNetwork network, MonotonicClock clock, Timeline timeline) {
        Map<AvailabilityZone, Double> distances = settings.distances().stream()
                .collect(Collectors.toMap(ZoneDistance::zone, ZoneDistance::milliseconds, (one, other) -> other));
        return new Membership(self, distances, network, clock, timeline);
    }

    @Provides
    @Singleton
    static DirectorySynchronizer directory(Peer self, PeerNetwork network, Platform platform, MonotonicClock clock) {
        return new DirectorySynchronizer(self, network, platform.vmDirectory(), clock, RandomGenerator.getDefault());
    }

    @Provides
    @Singleton
    static PeerSelection peerSelection(EntrySettings settings, TcpPeerNetwork network) {
        Map<VmId, InetSocketAddress> seeds = settings.seeds().stream()
                .collect(Collectors.toMap(PeerSeed::vm, PeerSeed::address, (one, other) -> other));
        return new PeerSelection(new EntryVm(settings.vm(), settings.zone()), seeds, network::setKnownPeers);
    }

    @Provides
    @Singleton
    static TimelineGatherer timelineGatherer(Timeline timeline, PeerNetwork network) {
        return new TimelineGatherer(timeline, network);
    }
}
