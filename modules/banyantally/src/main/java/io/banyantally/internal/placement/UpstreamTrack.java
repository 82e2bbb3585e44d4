package io.banyantally.internal.placement;

import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.ReportedLoad;
import io.banyantally.internal.routing.Health;
import io.banyantally.model.VmId;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** What this process has seen of one upstream: its own requests there, the last reported load, and failures. */
public final class UpstreamTrack {

    /** The weight of one result in the moving share of failures. */
    private static final double FAILURE_WEIGHT = 0.12;

    /** An upstream that fails a larger share of its requests is ejected although single requests succeed. */
    private static final double FAILURE_SHARE_TO_EJECT = 0.3;

    /** The weight of one request in the moving mean of how long requests keep a slot; a mix swings within seconds. */
    private static final double HELD_WEIGHT = 0.1;

    /** An upstream that has refused a request is avoided this long; a queue or an order takes some time. */
    private static final Duration REFUSAL_TIME = Duration.ofMillis(150);

    /** How fast a queue is taken to become shorter while others may still add to it, in milliseconds a millisecond. */
    private static final double DRAIN_RATE = 1.0;

    /** What a peer said is used this long; a peer that is silent longer is cut off or dead. */
    private static final Duration PEER_VALIDITY = Duration.ofMillis(500);

    private static final double NANOS_PER_MILLI = 1_000_000;

    private final ReplicaEntry entry;
    private final Health health = new Health();
    private final Deque<Long> sentAt = new ArrayDeque<>();
    private final Map<VmId, PeerWork> peers = new HashMap<>();
    private int outstanding;
    private double outstandingWork;
    private int outstandingAtLoad;
    private Optional<ReportedLoad> load = Optional.empty();
    private long loadAt;
    private double failureShare;
    private double measuredWait;
    private double heldMillis;
    private long measuredAt;
    private long refusedAt;
    private boolean everRefused;

    UpstreamTrack(ReplicaEntry entry) {
        this.entry = entry;
    }

    /** Returns the lifetime that the track belongs to. */
    public ReplicaEntry entry() {
        return entry;
    }

    /** Returns how far the upstream is trusted. */
    public Health health() {
        return health;
    }

    /** Counts a request that is sent and keeps the upstream busy for {@code work} milliseconds. */
    public synchronized void recordSent(double work, long now) {
        outstanding++;
        outstandingWork += work;
        sentAt.addLast(now);
        health.sent();
    }

    /** Notes that a request no longer waits: the first part of its answer is there. */
    public synchronized void recordAnswerBegun(long sent) {
        sentAt.remove(sent);
    }

    /** Notes how long a request kept a slot of the upstream, in milliseconds. */
    public synchronized void recordSlotTime(double millis) {
        heldMillis = heldMillis == 0 ? millis : heldMillis + (millis - heldMillis) * HELD_WEIGHT;
    }

    /** Counts the end of a request, whatever it was. */
    public synchronized void recordEnd(double work, long sent) {
        outstanding--;
        outstandingWork = outstanding == 0 ? 0 : outstandingWork - work;
        sentAt.remove(sent);
    }

    /** Notes how long a request waited for the upstream before it was worked on, in milliseconds. */
    public synchronized void recordWait(double millis, long now) {
        measuredWait = Math.max(0, millis);
        measuredAt = now;
    }

    /** Notes that the upstream refused a request without running it. */
    public synchronized void recordRefusal(long now) {
        refusedAt = now;
        everRefused = true;
    }

    /** Notes the load that came with an answer. */
    public synchronized void recordLoad(ReportedLoad reported, long now) {
        load = Optional.of(reported);
        outstandingAtLoad = outstanding;
        loadAt = now;
    }

    /** Notes an answer that was whole and the upstream's own. Returns whether it made the upstream trusted again. */
    public synchronized boolean succeeded() {
        failureShare -= failureShare * FAILURE_WEIGHT;
        return health.succeeded();
    }

    /** Notes a failure. Returns whether the upstream should be ejected. */
    public synchronized boolean failed() {
        failureShare += (1 - failureShare) * FAILURE_WEIGHT;
        return health.failed() || (failureShare > FAILURE_SHARE_TO_EJECT && health.isHealthy());
    }

    /** Forgets the share of failures, so that an upstream that returns is judged anew. */
    public synchronized void ejected(long now) {
        failureShare = 0;
        health.eject(now);
    }

    /** Notes the work that another VM has at the upstream. */
    public synchronized void peerHas(VmId peer, int requests, double millis, long now) {
        peers.put(peer, new PeerWork(requests, millis, now));
    }

    /** Returns the work that this process has at the upstream. */
    public synchronized OwnWork ownWork() {
        return new OwnWork(outstanding, outstandingWork);
    }

    /** Returns what placement decides by. */
    public synchronized Candidate candidate(long now) {
        boolean refusing = everRefused && now - refusedAt < REFUSAL_TIME.toNanos();
        int peerRequests = 0;
        double peerWork = 0;
        for (PeerWork work : peers.values()) {
            if (now - work.at() < PEER_VALIDITY.toNanos()) {
                peerRequests += work.requests();
                peerWork += work.millis();
            }
        }
        return new Candidate(
                entry,
                outstanding,
                outstandingWork,
                peerRequests,
                peerWork,
                load,
                outstandingAtLoad,
                now - loadAt,
                observedWait(now),
                heldMillis,
                refusing,
                health.accepts(now));
    }

    /**
     * Returns how long requests wait at least: as long as the oldest one that has no answer, or as long as the last one
     * that got through, less a part of the time since, in which the queue may have become shorter.
     */
    private double observedWait(long now) {
        double sinceMeasured = (now - measuredAt) / NANOS_PER_MILLI;
        double remaining = Math.max(0, measuredWait - sinceMeasured * DRAIN_RATE);
        Long oldest = sentAt.peekFirst();
        double oldestWait = oldest == null ? 0 : (now - oldest) / NANOS_PER_MILLI - outstandingWork;
        return Math.max(remaining, oldestWait);
    }

    /** The requests of this process at the upstream and the time that they keep it busy, in milliseconds. */
    public record OwnWork(int requests, double millis) {}

    private record PeerWork(int requests, double millis, long at) {}
}
