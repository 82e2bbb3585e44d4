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
 * Exchanges with each peer the work that both have at upstreams. Of each pair the VM with the lower id asks, and both learn.
 *
 * <p>Answers the load at which placement decides: engines do not report the queue of prompts, and a VM alone sees a sixth of
 * it or less, so that without the exchange all VMs together fill a queue before any of them notices.
 */
public final class WorkExchange {

    /** The queue of an engine changes by a few prompts in this time. */
    static final Duration SHORTEST_INTERVAL = Duration.ofMillis(20);

    /** With many peers the interval grows, so that a VM's exchanges a second stay below some hundred. */
    static final Duration INTERVAL_PER_PEER = Duration.ofMillis(4);

    private static final Topic TOPIC = new Topic("gateway.work");
    private static final MessagePackCodec<WorkMessage> CODEC = MessagePackCodec.of(WorkMessage.class);

    /** Later answers are of no use. */
    private static final Duration TIMEOUT = Duration.ofMillis(150);

    private final VmId self;
    private final PeerNetwork peers;
    private final UpstreamTracks tracks;
    private final MonotonicClock clock;
    private final Set<VmId> asking = ConcurrentHashMap.newKeySet();
    private final Counter unanswered;
    private long lastRound;

    /** Creates the exchange and answers the questions of peers. */
    public WorkExchange(
            VmId self, PeerNetwork peers, UpstreamTracks tracks, MonotonicClock clock, MetricRegistry metrics) {
        this.self = self;
        this.peers = peers;
        this.tracks = tracks;
        this.clock = clock;
        this.unanswered = metrics.counter("work_exchange.unanswered");
        this.lastRound = clock.nanoTime();
        peers.handle(TOPIC, (sender, payload) -> {
            learn(sender.vm(), CODEC.decode(payload));
            return CODEC.encode(message());
        });
    }

    /** Returns how often to call {@link #exchange}. */
    public static Duration interval() {
        return SHORTEST_INTERVAL;
    }

    /** Asks all peers that this VM has to ask, each in a task of its own. */
    public void exchange() {
        List<Peer> connected = peers.peers();
        Duration interval = INTERVAL_PER_PEER.multipliedBy(connected.size());
        if (clock.since(lastRound).compareTo(interval) < 0) {
            return;
        }
        lastRound = clock.nanoTime();
        byte[] message = CODEC.encode(message());
        for (Peer peer : connected) {
            if (self.compareTo(peer.vm()) < 0 && asking.add(peer.vm())) {
                Thread.ofVirtual().name("work-exchange").start(() -> ask(peer.vm(), message));
            }
        }
    }

    private void ask(VmId peer, byte[] message) {
        try {
            learn(peer, CODEC.decode(peers.request(peer, TOPIC, message, TIMEOUT)));
        } catch (PeerException silent) {
            // What the peer said last is used until it is too old.
            unanswered.inc();
        } finally {
            asking.remove(peer);
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

    private void learn(VmId peer, WorkMessage message) {
        Map<String, UpstreamWork> byUpstream = new HashMap<>();
        message.work().forEach(work -> byUpstream.put(work.upstream(), work));
        long now = clock.nanoTime();
        for (UpstreamTrack track : tracks.all()) {
            UpstreamWork work = byUpstream.get(track.entry().id().value());
            track.peerHas(peer, work == null ? 0 : work.requests(), work == null ? 0 : work.millis(), now);
        }
    }
}
