package io.banyantally.internal.routing;

import io.banyantally.internal.admission.RetryBudget;
import io.banyantally.model.VmId;
import io.banyantally.upstream.EngineRole;
import io.banyantally.upstream.LoadReport;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * What this VM knows of one upstream: the work of this VM and its peers, the last load report and the measured rates.
 */
final class UpstreamState {
    private static final double RATE_SMOOTHING = 0.1;
    private static final double NANOS_PER_SECOND = 1e9;

    /** With fewer tokens, the time to the first token depends on waiting more than on the prefill rate. */
    private static final int MINIMUM_MEASURED_TOKENS = 1_000;

    /** Older reports are not used; the load is then estimated from the work of this VM and its peers only. */
    private static final long MAXIMUM_REPORT_AGE_NANOS = 3_000_000_000L;

    /** A peer without messages for this long has probably finished or lost its work. */
    private static final long MAXIMUM_PEER_WORK_AGE_NANOS = 3_000_000_000L;

    /** The fraction of the reported streams that is counted, since some have ended since the report. */
    private static final double REPORTED_STREAMS_FRACTION = 0.8;

    final RouterSettings settings;
    final RetryBudget retries = new RetryBudget();
    final Health health = new Health();
    private final AtomicLong ownPrefillTokens = new AtomicLong();
    private final AtomicInteger ownStreams = new AtomicInteger();
    private final Map<VmId, PeerWork> peerWork = new ConcurrentHashMap<>();
    private final boolean engine;
    private volatile int slot;
    private volatile KnownUpstream known;
    private volatile TimedReport reported;
    private volatile long peerPrefillTokens;
    private volatile int peerStreams;
    private volatile double prefillFactor = 1;
    private volatile double intervalFactor = 1;

    UpstreamState(KnownUpstream known, RouterSettings settings, boolean engine) {
        this.known = known;
        this.engine = engine;
        this.settings = settings;
    }

    private record PeerWork(long prefillTokens, int streams, long receivedAt) {}

    /** A load report, and the latest time at which it was accurate, on this VM's monotonic clock. */
    record TimedReport(LoadReport report, long validAt) {}

    KnownUpstream known() {
        return known;
    }

    void setKnown(KnownUpstream known) {
        this.known = known;
    }

    boolean isEngine() {
        return engine;
    }

    /** Returns the index in the table of the service, which may have been rebuilt since the caller read it. */
    int slot() {
        return slot;
    }

    void setSlot(int slot) {
        this.slot = slot;
    }

    void addWork(long prefillTokens, int streams) {
        ownPrefillTokens.addAndGet(prefillTokens);
        ownStreams.addAndGet(streams);
    }

    void removePrefill(long prefillTokens) {
        ownPrefillTokens.addAndGet(-prefillTokens);
    }

    void removeStream() {
        ownStreams.decrementAndGet();
    }

    long ownPrefillTokens() {
        return ownPrefillTokens.get();
    }

    int ownStreams() {
        return ownStreams.get();
    }

    /** Sets the last report unless a newer one is known. */
    void updateReport(LoadReport report, long validAt) {
        TimedReport last = reported;
        if (last == null
                || report.number() >= last.report().number()
                || validAt - last.validAt() > MAXIMUM_REPORT_AGE_NANOS) {
            reported = new TimedReport(report, validAt);
        }
    }

    TimedReport lastReport() {
        return reported;
    }

    void setPeerWork(VmId peer, long prefillTokens, int streams, long now) {
        if (prefillTokens == 0 && streams == 0) {
            peerWork.remove(peer);
        } else {
            peerWork.put(peer, new PeerWork(prefillTokens, streams, now));
        }
    }

    /** Adds up the work of the peers; called after each of their messages, so that choices only read the totals. */
    void updatePeerTotals(long now) {
        long prefill = 0;
        int streams = 0;
        for (PeerWork work : peerWork.values()) {
            if (now - work.receivedAt() < MAXIMUM_PEER_WORK_AGE_NANOS) {
                prefill += work.prefillTokens();
                streams += work.streams();
            }
        }
        peerPrefillTokens = prefill;
        peerStreams = streams;
    }

    EngineRole role() {
        TimedReport last = reported;
        return last == null ? EngineRole.MIXED : last.report().role();
    }

    /** Returns the prompt tokens that probably wait for prefill now. */
    double expectedQueuedTokens(long now) {
        double sentByVms = (double) ownPrefillTokens.get() + peerPrefillTokens;
        TimedReport last = reported;
        if (last == null || now - last.validAt() > MAXIMUM_REPORT_AGE_NANOS) {
            return sentByVms;
        }
        double drained = prefillRate(last.report().runningStreams()) * (now - last.validAt()) / NANOS_PER_SECOND;
        return Math.max(sentByVms, last.report().queuedPromptTokens() - drained);
    }

    /** Returns the streams that probably run now. */
    double expectedStreams(long now) {
        double sentByVms = ownStreams.get() + peerStreams;
        TimedReport last = reported;
        if (last == null || now - last.validAt() > MAXIMUM_REPORT_AGE_NANOS) {
            return sentByVms;
        }
        return Math.max(sentByVms, REPORTED_STREAMS_FRACTION * last.report().runningStreams());
    }

    /** Returns the seconds between two tokens of a stream when {@code streams} streams run. */
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

    /**
     * Returns prompt tokens a second while {@code streams} streams decode: each prefill chunk waits for a decoding
     * step.
     */
    double prefillRate(double streams) {
        double secondsPerToken = 1 / settings.prefillTokensPerSecond();
        if (streams >= 1 && role() != EngineRole.PREFILL) {
            double step =
                    settings.decodeBase().toNanos() + settings.decodePerStream().toNanos() * streams;
            secondsPerToken += step / NANOS_PER_SECOND / settings.prefillChunkTokens();
        }
        return prefillFactor / secondsPerToken;
    }

    /** Returns the prefill rate in prompt tokens a second with the streams that probably run now. */
    double prefillRateNow(long now) {
        return prefillRate(expectedStreams(now));
    }

    /**
     * Adjusts the prefill rate to the time that a prefill has taken.
     *
     * @param tokens prompt tokens that were computed in this time, including those queued ahead of the request
     * @param expectedRate the rate in tokens a second that was expected when the request was sent
     * @param nanos the time from the choice of the route to the end of the prefill
     */
    void recordPrefill(double tokens, double expectedRate, long nanos) {
        if (tokens < MINIMUM_MEASURED_TOKENS || nanos <= 0) {
            return;
        }
        double previousFactor = prefillFactor;
        double measuredFactor = previousFactor * (tokens / (nanos / NANOS_PER_SECOND)) / expectedRate;
        prefillFactor = previousFactor + RATE_SMOOTHING * (Math.clamp(measuredFactor, 0.25, 2) - previousFactor);
    }

    /** Adjusts the token interval to the mean interval of a finished stream. */
    void recordInterval(double expectedSeconds, double seconds) {
        double previousFactor = intervalFactor;
        double measuredFactor = Math.clamp(previousFactor * seconds / Math.max(1e-6, expectedSeconds), 0.5, 3);
        intervalFactor = previousFactor + RATE_SMOOTHING * (measuredFactor - previousFactor);
    }

    /** Returns whether the KV cache has this many free blocks by the last report; true without a report. */
    boolean hasFreeBlocks(int blocks) {
        TimedReport last = reported;
        return last == null
                || last.report().totalBlocks() == 0
                || last.report().usedBlocks() + blocks <= last.report().totalBlocks();
    }
}
