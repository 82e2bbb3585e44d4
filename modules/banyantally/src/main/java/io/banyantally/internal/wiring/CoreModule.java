package io.banyantally.internal.wiring;

import com.codahale.metrics.MetricRegistry;
import dagger.Binds;
import dagger.Module;
import dagger.Provides;
import io.banyantally.internal.invariant.Invariants;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.membership.DirectoryWatcher;
import io.banyantally.internal.membership.Membership;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.peer.TcpPeerNetwork;
import io.banyantally.internal.settings.EntrySettings;
import io.banyantally.internal.settings.ZoneDistance;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.internal.timeline.TimelineGatherer;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.Incarnation;
import io.banyantally.platform.Platform;
import jakarta.inject.Singleton;
import java.util.Map;
import java.util.stream.Collectors;

/** Clock, time line, metrics, peers and membership. */
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
    static DirectoryWatcher directoryWatcher(Platform platform) {
        return new DirectoryWatcher(platform.vmDirectory());
    }

    @Provides
    @Singleton
    static TimelineGatherer timelineGatherer(Timeline timeline, PeerNetwork network) {
        return new TimelineGatherer(timeline, network);
    }
}
