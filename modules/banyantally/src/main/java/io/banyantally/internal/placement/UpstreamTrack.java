package io.banyantally.internal.placement;

import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.ReportedLoad;
import io.banyantally.internal.routing.Health;
import java.util.Optional;

/** What this process has seen of one upstream: its own requests there, the last reported load, and failures. */
public final class UpstreamTrack {

    /** The weight of one result in the moving share of failures. */
    private static final double FAILURE_WEIGHT = 0.12;

    /** An upstream that fails a larger share of its requests is ejected although single requests succeed. */
    private static final double FAILURE_SHARE_TO_EJECT = 0.3;

    private final ReplicaEntry entry;
    private final Health health = new Health();
    private int outstanding;
    private double outstandingWork;
    private int outstandingAtLoad;
    private Optional<ReportedLoad> load = Optional.empty();
    private long loadAt;
    private double failureShare;

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
    public synchronized void sent(double work) {
        outstanding++;
        outstandingWork += work;
        health.sent();
    }

    /** Counts the end of a request, whatever it was. */
    public synchronized void ended(double work) {
        outstanding--;
        outstandingWork = outstanding == 0 ? 0 : outstandingWork - work;
    }

    /** Notes the load that came with an answer. */
    public synchronized void reported(ReportedLoad reported, long now) {
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

    /** Returns what placement decides by. */
    public synchronized Candidate candidate(long now) {
        return new Candidate(
                entry, outstanding, outstandingWork, load, outstandingAtLoad, now - loadAt, health.accepts(now));
    }
}
