package io.banyantally.internal.routing;

import io.banyantally.internal.admission.RetryBudget;
import io.banyantally.model.VmId;
import io.banyantally.upstream.EngineRole;
import io.banyantally.upstream.LoadReport;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** What this VM knows of one upstream: its work from here and from peers, its last report and its measured rates. */
final class UpstreamState {
    private static final double RATE_SMOOTHING = 0.1;
    private static final double NANOS_PER_SECOND = 1e9;

    /** Shorter prefills say more about waiting than about the rate. */
    private static final int MEASURABLE_TOKENS = 1_000;

    /** A report is not used when older; work from here and from peers is then all that is known. */
    private static final long REPORT_USABLE_NANOS = 3_000_000_000L;

    /** A peer that has been silent for this long has probably finished or lost its work. */
    private static final long PEER_USABLE_NANOS = 3_000_000_000L;

    /** A late report counts streams that have ended since, so it is not taken in full. */
    private static final double REPORTED_STREAMS_PART = 0.8;

    final RouterSettings settings;
    final RetryBudget retries = new RetryBudget();
    final Health health = new Health();
    private final AtomicLong ownPrefillTokens = new AtomicLong();
    private final AtomicInteger ownStreams = new AtomicInteger();
    private final Map<VmId, PeerWork> peerWork = new ConcurrentHashMap<>();
    private final boolean engine;
    private volatile int slot;
    private volatile KnownUpstream known;
    private volatile Reported reported;
    private volatile long peerPrefillTokens;
    private volatile int peerStreams;
    private volatile double prefillFactor = 1;
    private volatile double intervalFactor = 1;

    UpstreamState(KnownUpstream known, RouterSettings settings, boolean engine) {
        this.known = known;
        this.engine = engine;
        this.settings = settings;
    }

    private record PeerWork(long prefillTokens, int streams, long heardAt) {}

    /** A load report and when its state was true at the latest, on this VM's clock. */
    record Reported(LoadReport report, long at) {}

    KnownUpstream known() {
        return known;
    }

    void setKnown(KnownUpstream known) {
        this.known = known;
    }

    boolean isEngine() {
        return engine;
    }

    /** Returns the place in the table of its service, which may have been rebuilt since the caller read it. */
    int slot() {
        return slot;
    }

    void setSlot(int slot) {
        this.slot = slot;
    }

    void begin(long prefillTokens, int streams) {
        ownPrefillTokens.addAndGet(prefillTokens);
        ownStreams.addAndGet(streams);
    }

    void prefillEnded(long prefillTokens) {
        ownPrefillTokens.addAndGet(-prefillTokens);
    }

    void streamEnded() {
        ownStreams.decrementAndGet();
    }

    long ownPrefillTokens() {
        return ownPrefillTokens.get();
    }

    int ownStreams() {
        return ownStreams.get();
    }

    /** Takes a report unless a newer one is known. */
    void report(LoadReport report, long at) {
        Reported last = reported;
        if (last == null || report.number() >= last.report().number() || at - last.at() > REPORT_USABLE_NANOS) {
            reported = new Reported(report, at);
        }
    }

    Reported reported() {
        return reported;
    }

    void peerHas(VmId peer, long prefillTokens, int streams, long now) {
        if (prefillTokens == 0 && streams == 0) {
            peerWork.remove(peer);
        } else {
            peerWork.put(peer, new PeerWork(prefillTokens, streams, now));
        }
    }

    /** Adds up what peers said; called after their messages, so that choices only read the sums. */
    void sumPeers(long now) {
        long prefill = 0;
        int streams = 0;
        for (PeerWork work : peerWork.values()) {
            if (now - work.heardAt() < PEER_USABLE_NANOS) {
                prefill += work.prefillTokens();
                streams += work.streams();
            }
        }
        peerPrefillTokens = prefill;
        peerStreams = streams;
    }

    EngineRole role() {
        Reported last = reported;
        return last == null ? EngineRole.MIXED : last.report().role();
    }

    /** Returns the prompt tokens that probably wait there now. */
    double queuedTokens(long now) {
        double fromVms = (double) ownPrefillTokens.get() + peerPrefillTokens;
        Reported last = reported;
        if (last == null || now - last.at() > REPORT_USABLE_NANOS) {
            return fromVms;
        }
        double drained = prefillRate(last.report().runningStreams()) * (now - last.at()) / NANOS_PER_SECOND;
        return Math.max(fromVms, last.report().queuedPromptTokens() - drained);
    }

    /** Returns the streams that probably run there now. */
    double streams(long now) {
        double fromVms = ownStreams.get() + peerStreams;
        Reported last = reported;
        if (last == null || now - last.at() > REPORT_USABLE_NANOS) {
            return fromVms;
        }
        return Math.max(fromVms, REPORTED_STREAMS_PART * last.report().runningStreams());
    }

    /** Returns the seconds between two tokens of a stream when {@code streams} run. */
    double intervalSeconds(double streams) {
        double nanos =
                settings.decodeBase().toNanos() + settings.decodePerStream().toNanos() * streams;
        return nanos / NANOS_PER_SECOND * intervalFactor;
    }

    /** Returns how many streams may run with a token interval of at most {@code seconds}. */
    double streamsWithin(double seconds) {
        double nanos = seconds * NANOS_PER_SECOND / intervalFactor;
        return (nanos - settings.decodeBase().toNanos())
                / settings.decodePerStream().toNanos();
    }

    /** Returns prompt tokens a second while {@code streams} decode: each chunk waits for a decoding step. */
    double prefillRate(double streams) {
        double secondsPerToken = 1 / settings.prefillTokensPerSecond();
        if (streams >= 1 && role() != EngineRole.PREFILL) {
            double step =
                    settings.decodeBase().toNanos() + settings.decodePerStream().toNanos() * streams;
            secondsPerToken += step / NANOS_PER_SECOND / settings.prefillChunkTokens();
        }
        return prefillFactor / secondsPerToken;
    }

    /** Returns prompt tokens a second with the streams that probably run now. */
    double prefillRateNow(long now) {
        return prefillRate(streams(now));
    }

    /**
     * Learns from a first token how rates differ from the assumed ones.
     *
     * @param tokens tokens that were computed, those that waited before it included
     * @param expectedRate the rate that was expected when the request was sent
     */
    void measuredPrefill(double tokens, double expectedRate, long nanos) {
        if (tokens < MEASURABLE_TOKENS || nanos <= 0) {
            return;
        }
        double before = prefillFactor;
        double seen = before * (tokens / (nanos / NANOS_PER_SECOND)) / expectedRate;
        prefillFactor = before + RATE_SMOOTHING * (Math.clamp(seen, 0.25, 2) - before);
    }

    /** Learns from a finished stream how token intervals differ from the assumed ones. */
    void measuredInterval(double expectedSeconds, double seconds) {
        double before = intervalFactor;
        double factor = Math.clamp(before * seconds / Math.max(1e-6, expectedSeconds), 0.5, 3);
        intervalFactor = before + RATE_SMOOTHING * (factor - before);
    }

    /** Returns whether the KV cache has room for so many blocks, as far as the last report tells. */
    boolean hasRoom(int blocks) {
        Reported last = reported;
        return last == null
                || last.report().totalBlocks() == 0
                || last.report().usedBlocks() + blocks <= last.report().totalBlocks();
    }
}
