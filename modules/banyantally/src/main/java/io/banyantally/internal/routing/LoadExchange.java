package io.banyantally.internal.routing;

import io.banyantally.internal.peer.MessagePackCodec;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.peer.Topic;
import io.banyantally.internal.routing.LoadMessage.CacheChange;
import io.banyantally.internal.routing.LoadMessage.PolledReport;
import io.banyantally.internal.routing.LoadMessage.SentPrefixes;
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
 * Updates the load view. Each engine is polled by {@value #POLLERS_PER_ENGINE} VMs, selected by rendezvous hashing,
 * which send the result to the others. So the number of calls to an engine does not grow with the number of VMs.
 */
final class LoadExchange {
    /** With two, the load of an engine stays known when one of its pollers is down or disconnected. */
    static final int POLLERS_PER_ENGINE = 2;

    private static final Topic TOPIC = new Topic("routing.load");
    private static final MessagePackCodec<LoadMessage> CODEC = MessagePackCodec.of(LoadMessage.class);
    private static final Duration TIMEOUT = Duration.ofMillis(200);

    /**
     * Limits the prefix lists in a message when many are sent within a round; peers learn the rest from cache events.
     */
    private static final int MAXIMUM_SENT_ENTRIES = 200;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final VmId self;
    private final MonotonicClock clock;
    private final PeerNetwork peers;
    private final UpstreamConnector connector;
    private final Map<UpstreamId, UpstreamState> states;
    private final PrefixIndex prefixIndex;
    private final Map<UpstreamId, Long> lastEventNumbers = new ConcurrentHashMap<>();
    private volatile List<PolledReport> polledReports = List.of();
    private volatile List<CacheChange> cacheChanges = List.of();
    private volatile long polledAt;
    private volatile int unansweredInLastRound;
    private final Queue<SentPrefixes> sentThisRound = new ConcurrentLinkedQueue<>();
    private volatile List<SentPrefixes> sentLastRound = List.of();

    LoadExchange(
            VmId self,
            MonotonicClock clock,
            PeerNetwork peers,
            UpstreamConnector connector,
            Map<UpstreamId, UpstreamState> states,
            PrefixIndex prefixIndex) {
        this.self = self;
        this.clock = clock;
        this.peers = peers;
        this.connector = connector;
        this.states = states;
        this.prefixIndex = prefixIndex;
        peers.handle(TOPIC, (sender, payload) -> {
            receive(sender.vm(), CODEC.decode(payload));
            return CODEC.encode(message());
        });
    }

    /** Polls the engines that are assigned to this VM. */
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
        polledReports = List.copyOf(reports);
        cacheChanges = List.copyOf(changes);
        polledAt = clock.nanoTime();
    }

    private boolean isPoller(UpstreamId upstream, List<VmId> vms) {
        long ownWeight = Rendezvous.weight(self, upstream);
        return vms.stream()
                        .filter(vm -> Rendezvous.weight(vm, upstream) > ownWeight)
                        .limit(POLLERS_PER_ENGINE)
                        .count()
                < POLLERS_PER_ENGINE;
    }

    private void poll(UpstreamState state, List<PolledReport> reports, List<CacheChange> changes) {
        KnownUpstream known = state.known();
        Engine engine = connector.engine(known);
        long requestedAt = clock.nanoTime();
        try {
            LoadReport report = engine.loadReport();
            state.updateReport(report, requestedAt);
            reports.add(new PolledReport(
                    known.id().value(),
                    report.number(),
                    report.queuedPromptTokens(),
                    report.runningStreams(),
                    report.usedBlocks(),
                    report.totalBlocks(),
                    report.role().name(),
                    0));
            for (CacheEvent event : engine.cacheEvents(lastEventNumbers.getOrDefault(known.id(), 0L))) {
                lastEventNumbers.put(known.id(), event.number());
                prefixIndex.apply(event, state, requestedAt);
                changes.add(new CacheChange(known.id().value(), event.prefixHash(), event.stored()));
            }
        } catch (UpstreamException unreachable) {
            // No ejection here: failed requests show a broken engine sooner than failed polls do.
            lastEventNumbers.putIfAbsent(known.id(), 0L);
        }
    }

    /**
     * Exchanges load with all peers. Of each pair, the VM with the lower id sends the request and both get the other's
     * load.
     */
    void exchange() {
        byte[] message = CODEC.encode(message());
        sentLastRound = List.copyOf(sentThisRound);
        sentThisRound.clear();
        int unanswered = 0;
        for (Peer peer : peers.peers()) {
            if (self.compareTo(peer.vm()) > 0) {
                continue;
            }
            try {
                receive(peer.vm(), CODEC.decode(peers.request(peer.vm(), TOPIC, message, TIMEOUT)));
            } catch (PeerException unreachable) {
                // The peer's last message is used until it is too old.
                unanswered++;
            }
        }
        unansweredInLastRound = unanswered;
        long now = clock.nanoTime();
        states.values().forEach(state -> state.updatePeerTotals(now));
    }

    int unansweredInLastRound() {
        return unansweredInLastRound;
    }

    /**
     * Adds new prefixes to the next messages; from cache events, peers would learn of them one or two seconds later.
     */
    void recordSentPrefixes(long[] hashes, UpstreamState upstream) {
        if (sentThisRound.size() < MAXIMUM_SENT_ENTRIES) {
            sentThisRound.add(new SentPrefixes(
                    upstream.known().id().value(), Arrays.stream(hashes).boxed().toList()));
        }
    }

    /**
     * Returns the prefixes of two rounds, so that a peer gets each of them even if its request comes just as a round
     * ends.
     */
    private List<SentPrefixes> recentlySent() {
        List<SentPrefixes> recent = new ArrayList<>(sentLastRound);
        recent.addAll(sentThisRound);
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
        long ageMillis = (clock.nanoTime() - polledAt) / NANOS_PER_MILLI;
        List<PolledReport> reports =
                polledReports.stream().map(report -> withAge(report, ageMillis)).toList();
        return new LoadMessage(work, reports, cacheChanges, recentlySent());
    }

    private static PolledReport withAge(PolledReport report, long ageMillis) {
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

    private void receive(VmId peer, LoadMessage message) {
        long now = clock.nanoTime();
        Set<UpstreamState> withWork = new HashSet<>();
        for (UpstreamWork work : message.work()) {
            UpstreamState state = states.get(new UpstreamId(work.upstream()));
            if (state != null) {
                state.setPeerWork(peer, work.prefillTokens(), work.streams(), now);
                withWork.add(state);
            }
        }
        for (UpstreamState state : states.values()) {
            if (!withWork.contains(state)) {
                state.setPeerWork(peer, 0, 0, now);
            }
            state.updatePeerTotals(now);
        }
        for (SentPrefixes sent : message.sent()) {
            UpstreamState state = states.get(new UpstreamId(sent.upstream()));
            if (state != null) {
                long[] hashes =
                        sent.prefixHashes().stream().mapToLong(Long::longValue).toArray();
                prefixIndex.recordSent(hashes, state, now);
            }
        }
        message.reports().forEach(report -> receiveReport(report, now));
        for (CacheChange change : message.cacheChanges()) {
            UpstreamState state = states.get(new UpstreamId(change.upstream()));
            if (state != null) {
                prefixIndex.apply(new CacheEvent(0, change.prefixHash(), change.stored()), state, now);
            }
        }
    }

    private void receiveReport(PolledReport polledReport, long now) {
        UpstreamState state = states.get(new UpstreamId(polledReport.upstream()));
        if (state != null) {
            LoadReport report = new LoadReport(
                    polledReport.number(),
                    polledReport.queuedPromptTokens(),
                    polledReport.runningStreams(),
                    polledReport.usedBlocks(),
                    polledReport.totalBlocks(),
                    EngineRole.valueOf(polledReport.role()));
            state.updateReport(report, now - polledReport.ageMillis() * NANOS_PER_MILLI);
        }
    }
}
