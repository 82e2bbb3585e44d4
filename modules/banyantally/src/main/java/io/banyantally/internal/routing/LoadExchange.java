package io.banyantally.internal.routing;

import io.banyantally.internal.peer.MessagePackCodec;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.peer.Topic;
import io.banyantally.internal.routing.LoadMessage.CacheChange;
import io.banyantally.internal.routing.LoadMessage.PolledReport;
import io.banyantally.internal.routing.LoadMessage.Sent;
import io.banyantally.internal.routing.LoadMessage.UpstreamWork;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.UpstreamId;
import io.banyantally.model.VmId;
import io.banyantally.upstream.CacheEvent;
import io.banyantally.upstream.Engine;
import io.banyantally.upstream.EngineRole;
import io.banyantally.upstream.LoadReport;
import io.banyantally.upstream.UpstreamException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Keeps the load view current. Each engine is polled by {@value #POLLERS} VMs, drawn by rendezvous hashing, which tell the
 * others; calls to an engine therefore do not grow with the number of VMs.
 */
final class LoadExchange {
    /** One poller may be dead or cut off without its engines being forgotten. */
    static final int POLLERS = 2;

    private static final Topic TOPIC = new Topic("routing.load");
    private static final MessagePackCodec<LoadMessage> CODEC = MessagePackCodec.of(LoadMessage.class);
    private static final Duration TIMEOUT = Duration.ofMillis(200);
    /** Bounds a message when many new prefixes are sent within a round; events tell the rest. */
    private static final int MOST_SENT = 200;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final VmId self;
    private final MonotonicClock clock;
    private final PeerNetwork peers;
    private final UpstreamConnector connector;
    private final Map<UpstreamId, UpstreamState> states;
    private final PrefixIndex index;
    private final Map<UpstreamId, Long> lastEvents = new ConcurrentHashMap<>();
    private volatile List<PolledReport> polled = List.of();
    private volatile List<CacheChange> cacheChanges = List.of();
    private volatile long polledAt;
    private volatile int unansweredInLastRound;
    private final Queue<Sent> sentNow = new ConcurrentLinkedQueue<>();
    private volatile List<Sent> sentBefore = List.of();

    LoadExchange(
            VmId self,
            MonotonicClock clock,
            PeerNetwork peers,
            UpstreamConnector connector,
            Map<UpstreamId, UpstreamState> states,
            PrefixIndex index) {
        this.self = self;
        this.clock = clock;
        this.peers = peers;
        this.connector = connector;
        this.states = states;
        this.index = index;
        peers.handle(TOPIC, (sender, payload) -> {
            heard(sender.vm(), CODEC.decode(payload));
            return CODEC.encode(message());
        });
    }

    /** Polls the engines that fall to this VM. */
    void poll() {
        List<VmId> vms = new ArrayList<>(peers.peers().stream().map(Peer::vm).toList());
        vms.add(self);
        List<PolledReport> reports = new ArrayList<>();
        List<CacheChange> changes = new ArrayList<>();
        for (UpstreamState state : states.values()) {
            if (state.isEngine() && isPoller(state.known().id(), vms)) {
                poll(state, reports, changes);
            }
        }
        polled = List.copyOf(reports);
        cacheChanges = List.copyOf(changes);
        polledAt = clock.nanoTime();
    }

    private boolean isPoller(UpstreamId upstream, List<VmId> vms) {
        long own = Rendezvous.weight(self, upstream);
        return vms.stream()
                        .filter(vm -> Rendezvous.weight(vm, upstream) > own)
                        .limit(POLLERS)
                        .count()
                < POLLERS;
    }

    private void poll(UpstreamState state, List<PolledReport> reports, List<CacheChange> changes) {
        KnownUpstream known = state.known();
        Engine engine = connector.engine(known);
        long asked = clock.nanoTime();
        try {
            LoadReport report = engine.loadReport();
            state.report(report, asked);
            reports.add(new PolledReport(
                    known.id().value(),
                    report.number(),
                    report.queuedPromptTokens(),
                    report.runningStreams(),
                    report.usedBlocks(),
                    report.totalBlocks(),
                    report.role().name(),
                    0));
            for (CacheEvent event : engine.cacheEvents(lastEvents.getOrDefault(known.id(), 0L))) {
                lastEvents.put(known.id(), event.number());
                index.told(event, state, asked);
                changes.add(new CacheChange(known.id().value(), event.prefixHash(), event.stored()));
            }
        } catch (UpstreamException unreachable) {
            // Requests notice a broken engine sooner than reports do, and ejection acts on them.
            lastEvents.putIfAbsent(known.id(), 0L);
        }
    }

    /** Tells peers this VM's work and hears theirs. Of each pair, the VM with the lower id asks and both hear. */
    void exchange() {
        byte[] message = CODEC.encode(message());
        sentBefore = List.copyOf(sentNow);
        sentNow.clear();
        int unanswered = 0;
        for (Peer peer : peers.peers()) {
            if (self.compareTo(peer.vm()) > 0) {
                continue;
            }
            try {
                heard(peer.vm(), CODEC.decode(peers.request(peer.vm(), TOPIC, message, TIMEOUT)));
            } catch (PeerException unreachable) {
                // What the peer said last is used until it is too old.
                unanswered++;
            }
        }
        unansweredInLastRound = unanswered;
        long now = clock.nanoTime();
        states.values().forEach(state -> state.sumPeers(now));
    }

    int unansweredInLastRound() {
        return unansweredInLastRound;
    }

    /** Notes new prefixes for the next messages: cache events would tell peers of them a second or two later. */
    void sent(long[] hashes, UpstreamState upstream) {
        if (sentNow.size() < MOST_SENT) {
            sentNow.add(new Sent(
                    upstream.known().id().value(), Arrays.stream(hashes).boxed().toList()));
        }
    }

    /** Each peer hears of a prefix in one of two rounds, whether it asks shortly before or after the lists move on. */
    private List<Sent> recentlySent() {
        List<Sent> recent = new ArrayList<>(sentBefore);
        recent.addAll(sentNow);
        return recent;
    }

    private LoadMessage message() {
        List<UpstreamWork> work = new ArrayList<>();
        for (UpstreamState state : states.values()) {
            long prefill = Math.max(0, state.ownPrefillTokens());
            int streams = Math.max(0, state.ownStreams());
            if (prefill > 0 || streams > 0) {
                work.add(new UpstreamWork(state.known().id().value(), prefill, streams));
            }
        }
        long age = (clock.nanoTime() - polledAt) / NANOS_PER_MILLI;
        List<PolledReport> reports =
                polled.stream().map(report -> aged(report, age)).toList();
        return new LoadMessage(work, reports, cacheChanges, recentlySent());
    }

    private static PolledReport aged(PolledReport report, long ageMillis) {
        return new PolledReport(
                report.upstream(),
                report.number(),
                report.queuedPromptTokens(),
                report.runningStreams(),
                report.usedBlocks(),
                report.totalBlocks(),
                report.role(),
                ageMillis);
    }

    private void heard(VmId peer, LoadMessage message) {
        long now = clock.nanoTime();
        Set<UpstreamState> named = new HashSet<>();
        for (UpstreamWork work : message.work()) {
            UpstreamState state = states.get(new UpstreamId(work.upstream()));
            if (state != null) {
                state.peerHas(peer, work.prefillTokens(), work.streams(), now);
                named.add(state);
            }
        }
        for (UpstreamState state : states.values()) {
            if (!named.contains(state)) {
                state.peerHas(peer, 0, 0, now);
            }
            state.sumPeers(now);
        }
        for (Sent sent : message.sent()) {
            UpstreamState state = states.get(new UpstreamId(sent.upstream()));
            if (state != null) {
                long[] hashes =
                        sent.prefixHashes().stream().mapToLong(Long::longValue).toArray();
                index.sent(hashes, state, now);
            }
        }
        message.reports().forEach(report -> heardReport(report, now));
        for (CacheChange change : message.cacheChanges()) {
            UpstreamState state = states.get(new UpstreamId(change.upstream()));
            if (state != null) {
                index.told(new CacheEvent(0, change.prefixHash(), change.stored()), state, now);
            }
        }
    }

    private void heardReport(PolledReport polled, long now) {
        UpstreamState state = states.get(new UpstreamId(polled.upstream()));
        if (state != null) {
            LoadReport report = new LoadReport(
                    polled.number(),
                    polled.queuedPromptTokens(),
                    polled.runningStreams(),
                    polled.usedBlocks(),
                    polled.totalBlocks(),
                    EngineRole.valueOf(polled.role()));
            state.report(report, now - polled.ageMillis() * NANOS_PER_MILLI);
        }
    }
}
