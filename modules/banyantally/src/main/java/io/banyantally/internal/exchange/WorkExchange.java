package io.banyantally.internal.exchange;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.banyantally.internal.exchange.WorkMessage.UpstreamWork;
import io.banyantally.internal.peer.MessagePackCodec;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.peer.Topic;
import io.banyantally.internal.placement.UpstreamTrack;
import io.banyantally.internal.placement.UpstreamTracks;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.VmId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Exchanges with each peer the work that both have at upstreams. Of each pair, the VM with the lower id sends the
 * request and both get the work of the other.
 *
 * <p>Placement needs this, since engines do not report their queue of prompts and a VM alone sees a sixth of it or
 * less. Without the exchange, all VMs together would fill a queue before any of them notices.
 */
public final class WorkExchange {

    /** In this time, the queue of an engine changes by a few prompts. */
    static final Duration MINIMUM_INTERVAL = Duration.ofMillis(20);

    /** The interval grows with the number of peers, so that a VM sends at most a few hundred requests a second. */
    static final Duration INTERVAL_PER_PEER = Duration.ofMillis(4);

    private static final Topic TOPIC = new Topic("gateway.work");
    private static final MessagePackCodec<WorkMessage> CODEC = MessagePackCodec.of(WorkMessage.class);

    /** The work in a later answer would be outdated. */
    private static final Duration TIMEOUT = Duration.ofMillis(150);

    private final VmId self;
    private final PeerNetwork peers;
    private final UpstreamTracks tracks;
    private final MonotonicClock clock;
    private final Set<VmId> pendingPeers = ConcurrentHashMap.newKeySet();
    private final Counter unanswered;
    private long lastRoundAt;

    /** Creates the exchange and handles the requests of peers. */
    public WorkExchange(
            VmId self, PeerNetwork peers, UpstreamTracks tracks, MonotonicClock clock, MetricRegistry metrics) {
        this.self = self;
        this.peers = peers;
        this.tracks = tracks;
        this.clock = clock;
        this.unanswered = metrics.counter("work_exchange.unanswered");
        this.lastRoundAt = clock.nanoTime();
        peers.handle(TOPIC, (sender, payload) -> {
            receive(sender.vm(), CODEC.decode(payload));
            return CODEC.encode(message());
        });
    }

    /** Returns how often to call {@link #exchange}. */
    public static Duration interval() {
        return MINIMUM_INTERVAL;
    }

    /** Sends requests to the peers with a higher id, each in its own thread, unless the interval has not passed yet. */
    public void exchange() {
        List<Peer> connected = peers.peers();
        Duration interval = INTERVAL_PER_PEER.multipliedBy(connected.size());
        if (clock.since(lastRoundAt).compareTo(interval) < 0) {
            return;
        }
        lastRoundAt = clock.nanoTime();
        byte[] message = CODEC.encode(message());
        for (Peer peer : connected) {
            if (self.compareTo(peer.vm()) < 0 && pendingPeers.add(peer.vm())) {
                Thread.ofVirtual().name("work-exchange").start(() -> requestWork(peer.vm(), message));
            }
        }
    }

    private void requestWork(VmId peer, byte[] message) {
        try {
            receive(peer, CODEC.decode(peers.request(peer, TOPIC, message, TIMEOUT)));
        } catch (PeerException unreachable) {
            // The peer's last message is used until it is too old.
            unanswered.inc();
        } finally {
            pendingPeers.remove(peer);
        }
    }

    private WorkMessage message() {
        List<UpstreamWork> work = new ArrayList<>();
        for (UpstreamTrack track : tracks.all()) {
            UpstreamTrack.OwnWork own = track.ownWork();
            if (own.requests() > 0) {
                work.add(new UpstreamWork(track.entry().id().value(), own.requests(), own.millis()));
            }
        }
        return new WorkMessage(work);
    }

    private void receive(VmId peer, WorkMessage message) {
        Map<String, UpstreamWork> byUpstream = new HashMap<>();
        message.work().forEach(work -> byUpstream.put(work.upstream(), work));
        long now = clock.nanoTime();
        for (UpstreamTrack track : tracks.all()) {
            UpstreamWork work = byUpstream.get(track.entry().id().value());
            track.setPeerWork(peer, work == null ? 0 : work.requests(), work == null ? 0 : work.millis(), now);
        }
    }
}
