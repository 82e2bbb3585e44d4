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
import java.util.OptionalLong;
import java.util.function.Predicate;

/**
 * The state of one upstream as this process observes it: requests of this process and its peers, reported load and
 * failures.
 */
public final class UpstreamTrack {

    /** The weight of one result in the moving share of failed requests. */
    private static final double FAILURE_SMOOTHING = 0.12;

    /** An upstream that fails a larger share of its requests is ejected even without consecutive failures. */
    private static final double FAILURE_SHARE_TO_EJECT = 0.3;

    /** The weight of one request in the moving mean of slot times; the mix of requests changes within seconds. */
    private static final double SLOT_TIME_SMOOTHING = 0.1;

    /** How fast a queue is assumed to drain while others may still add to it, in milliseconds of work a millisecond. */
    private static final double DRAIN_RATE = 1.0;

    /** Older work of a peer is not counted; a peer without messages for longer is disconnected or down. */
    private static final Duration MAXIMUM_PEER_WORK_AGE = Duration.ofMillis(500);

    /**
     * VMs return to an upstream that others have seen refuse at random times in this part of the time left, so that the
     * first one to return finds out for all.
     */
    private static final double RETURN_SPREAD = 0.5;

    private static final double NANOS_PER_MILLI = 1_000_000;

    private final ReplicaEntry entry;
    private final Health health = new Health();
    private final Deque<Long> unansweredSendTimes = new ArrayDeque<>();
    private final Map<VmId, PeerWork> peerWorkByVm = new HashMap<>();
    private int outstanding;
    private double outstandingWork;
    private int outstandingAtLoad;
    private Optional<ReportedLoad> load = Optional.empty();
    private long loadAt;
    private double failureShare;
    private double measuredWait;
    private double slotMillis;
    private long measuredAt;
    private final RefusalBackoff refusals = new RefusalBackoff();
    private long peersAvoidUntil;
    private long returnAt;
    private boolean peersRefused;
    private final Pace pace = new Pace();
    private volatile LoadBound bound = LoadBound.NONE;

    UpstreamTrack(ReplicaEntry entry) {
        this.entry = entry;
    }

    /** Returns the entry of the upstream, as it was when this track began. */
    public ReplicaEntry entry() {
        return entry;
    }

    /** Returns the health of the upstream for outlier ejection. */
    public Health health() {
        return health;
    }

    /** Records that a request is sent at {@code now}, which keeps the upstream busy for {@code work} milliseconds. */
    public synchronized void recordSent(double work, long now) {
        outstanding++;
        outstandingWork += work;
        unansweredSendTimes.addLast(now);
        health.recordSent();
        bound = LoadBound.NONE;
    }

    /**
     * Records that the first part of the answer to the request sent at {@code sentAt} has arrived, so that it no longer
     * waits.
     */
    public synchronized void recordAnswerBegun(long sentAt) {
        recordAccepted();
        unansweredSendTimes.remove(sentAt);
        bound = LoadBound.NONE;
    }

    /** Records how long a request occupied a slot of the upstream, in milliseconds. */
    public synchronized void recordSlotTime(double millis) {
        slotMillis = slotMillis == 0 ? millis : slotMillis + (millis - slotMillis) * SLOT_TIME_SMOOTHING;
    }

    /** Records the end of the request sent at {@code sentAt}, with any result. */
    public synchronized void recordEnd(double work, long sentAt) {
        outstanding--;
        outstandingWork = outstanding == 0 ? 0 : outstandingWork - work;
        unansweredSendTimes.remove(sentAt);
        bound = LoadBound.NONE;
    }

    /**
     * Records how long a request waited at the upstream before it started, in milliseconds; negative values count as 0.
     */
    public synchronized void recordWait(double millis, long now) {
        measuredWait = Math.max(0, millis);
        measuredAt = now;
        bound = LoadBound.NONE;
    }

    /** Records that the upstream refused a request, sent at {@code sentAt}, without running it. */
    public synchronized void recordRefusal(long sentAt, long now) {
        refusals.recordRefusal(sentAt, now);
    }

    private void recordAccepted() {
        refusals.recordAccepted();
        peersRefused = false;
        bound = LoadBound.NONE;
    }

    /** Avoids the upstream for a time in which it is known to refuse requests. */
    public synchronized void avoid(Duration time, long now) {
        refusals.avoid(time, now);
        bound = LoadBound.NONE;
    }

    /** Records the load that the upstream reported with an answer. */
    public synchronized void recordLoad(ReportedLoad reported, long now) {
        load = Optional.of(reported);
        reported.workTimePercent().ifPresent(percent -> pace.record(percent, now));
        outstandingAtLoad = outstanding;
        loadAt = now;
        bound = LoadBound.NONE;
    }

    /** Records a complete answer from the upstream itself. Returns whether it made the upstream healthy again. */
    public synchronized boolean recordSuccess() {
        failureShare -= failureShare * FAILURE_SMOOTHING;
        recordAccepted();
        return health.recordSuccess();
    }

    /** Records a failure. Returns whether the upstream should be ejected. */
    public synchronized boolean recordFailure() {
        failureShare += (1 - failureShare) * FAILURE_SMOOTHING;
        return health.recordFailure() || (failureShare > FAILURE_SHARE_TO_EJECT && health.isHealthy());
    }

    /** Ejects the upstream and resets its share of failures, so that earlier ones do not count after its return. */
    public synchronized void eject(long now) {
        failureShare = 0;
        health.eject(now);
    }

    /**
     * Sets the work that another VM has at the upstream; {@code millis} is the time that it keeps the upstream busy.
     * VMs without work are not kept: most of a large fleet have none at a given upstream, and each sum visits all kept.
     */
    public synchronized void setPeerWork(VmId peer, int requests, double millis, long now) {
        PeerWork former = requests == 0 && millis == 0
                ? peerWorkByVm.remove(peer)
                : peerWorkByVm.put(peer, new PeerWork(requests, millis, now));
        if (former != null && requests < former.requests()) {
            bound = LoadBound.NONE;
        }
    }

    /**
     * Sets what another VM has seen of the upstream.
     *
     * @param refusing how much longer the other VM avoids it because of refusals
     * @param workTime the time that work took there, as the upstream last reported to other VMs
     * @param spread a random number from 0 to 1
     */
    public synchronized void recordPeerObservation(
            Duration refusing, Optional<Pace.Report> workTime, double spread, long now) {
        long until = now + refusing.toNanos();
        if (refusing.isPositive() && (!peersRefused || until - peersAvoidUntil > 0)) {
            peersRefused = true;
            peersAvoidUntil = until;
            returnAt = until + (long) (refusing.toNanos() * RETURN_SPREAD * spread);
            bound = LoadBound.NONE;
        }
        workTime.ifPresent(report -> {
            pace.recordOfPeer(report);
            bound = LoadBound.NONE;
        });
    }

    /** Returns how much longer this process avoids the upstream because of refusals that it has got itself. */
    public synchronized Duration ownAvoidance(long now) {
        return Duration.ofNanos(Math.max(0, refusals.remainingNanos(now)));
    }

    /**
     * Returns how much longer VMs avoid the upstream because of refusals that this process or others have got. The random
     * delay of this process is left out, since it would add up while VMs tell each other.
     */
    public synchronized Duration knownAvoidance(long now) {
        long own = refusals.remainingNanos(now);
        return Duration.ofNanos(Math.max(0, peersRefused ? Math.max(own, peersAvoidUntil - now) : own));
    }

    /** Returns the pace that the upstream has lately reported to this process, if other VMs should know it. */
    public synchronized Optional<Pace.Report> ownPaceReport(long now) {
        return pace.ownNotable(now);
    }

    /** Returns the pace that the upstream has lately reported to any VM, if others should know it. */
    public synchronized Optional<Pace.Report> paceReport(long now) {
        return pace.notable(now);
    }

    private boolean isOnProbation(long now) {
        long sinceReturn = now - returnAt;
        return refusals.isOnProbation(now)
                || (peersRefused && sinceReturn >= 0 && sinceReturn < RefusalBackoff.PROBATION.toNanos());
    }

    private long refusingUntil(long now) {
        long own = now + refusals.remainingNanos(now);
        return peersRefused && returnAt - own > 0 ? returnAt : own;
    }

    /** Returns the work that this process has at the upstream. */
    public synchronized Work ownWork() {
        return new Work(outstanding, outstandingWork);
    }

    /** Returns the work of this process and the recent work of the peers that {@code included} accepts. */
    public synchronized Work workWithPeers(Predicate<VmId> included, long now) {
        int requests = outstanding;
        double millis = outstandingWork;
        for (Map.Entry<VmId, PeerWork> peer : peerWorkByVm.entrySet()) {
            if (peer.getValue().isRecent(now) && included.test(peer.getKey())) {
                requests += peer.getValue().requests();
                millis += peer.getValue().millis();
            }
        }
        return new Work(requests, millis);
    }

    /** Returns the inputs of a placement decision at {@code now}, with the newest entry of the upstream. */
    synchronized Candidate candidate(ReplicaEntry newest, long now) {
        Work withPeers = workWithPeers(vm -> true, now);
        boolean refusing = refusingUntil(now) - now > 0 || (isOnProbation(now) && withPeers.requests() > 0);
        return new Candidate(
                newest,
                outstanding,
                outstandingWork,
                withPeers.requests() - outstanding,
                withPeers.millis() - outstandingWork,
                load,
                outstandingAtLoad,
                now - loadAt,
                observedWaitMillis(now),
                slotMillis,
                pace.factor(now),
                refusing,
                health.accepts(now));
    }

    /** Returns the inputs of a placement decision, and keeps a bound of them unless the upstream is free. */
    synchronized Candidate look(ReplicaEntry newest, long now) {
        Candidate candidate = candidate(newest, now);
        double itsLoad = LeastLoadedPlacement.load(candidate);
        if (itsLoad >= LeastLoadedPlacement.FULL
                || candidate.refusing()
                || !candidate.trusted()
                || candidate.observedWaitMillis() > 0) {
            bound = boundOf(candidate, LeastLoadedPlacement.leastCost(candidate), now);
        }
        return candidate;
    }

    private LoadBound boundOf(Candidate candidate, double itsLoad, long now) {
        int fault = 0;
        long until = loadHoldsUntil(candidate, now);
        OptionalLong ejectedUntil = health.ejectedUntil(now);
        if (ejectedUntil.isPresent()) {
            fault += LeastLoadedPlacement.UNTRUSTED;
            until = earlier(until, ejectedUntil.getAsLong());
        }
        if (candidate.refusing()) {
            fault += LeastLoadedPlacement.REFUSING;
            until = earlier(until, refusingUntil(now) - now > 0 ? refusingUntil(now) : now);
        }
        long waitsUntil = now + (long) (candidate.observedWaitMillis() * NANOS_PER_MILLI);
        return new LoadBound(candidate.entry(), fault, itsLoad, waitsUntil, until);
    }

    /** Returns the time at which requests of others may first count no more because of their age. */
    private long loadHoldsUntil(Candidate candidate, long now) {
        long until = now + LoadBound.NEVER_NANOS;
        for (PeerWork work : peerWorkByVm.values()) {
            if (work.requests() > 0 && work.isRecent(now)) {
                until = earlier(until, work.receivedAt() + MAXIMUM_PEER_WORK_AGE.toNanos());
            }
        }
        boolean loadCounts =
                load.isPresent() && candidate.loadAgeNanos() < LeastLoadedPlacement.MAXIMUM_LOAD_AGE.toNanos();
        return loadCounts ? earlier(until, loadAt + LeastLoadedPlacement.MAXIMUM_LOAD_AGE.toNanos()) : until;
    }

    private static long earlier(long first, long second) {
        return first - second <= 0 ? first : second;
    }

    /** Keeps the upstream out of decisions until {@code until}; without such a notice it would be looked at each time. */
    void excludeUntil(ReplicaEntry newest, long now, long until) {
        bound = new LoadBound(newest, LoadBound.EXCLUDED, 0, now, until);
    }

    /** Returns the bound of the last look that still holds but for its age. */
    LoadBound bound() {
        return bound;
    }

    /**
     * Returns the least time that requests wait, in milliseconds: the time since the oldest unanswered request was
     * sent, less the outstanding work, or the last measured wait, less the time in which the queue may have drained
     * since, whichever is longer.
     */
    private double observedWaitMillis(long now) {
        double sinceMeasured = (now - measuredAt) / NANOS_PER_MILLI;
        double remainingWait = Math.max(0, measuredWait - sinceMeasured * DRAIN_RATE);
        Long oldest = unansweredSendTimes.peekFirst();
        double oldestWait = oldest == null ? 0 : (now - oldest) / NANOS_PER_MILLI - outstandingWork;
        return Math.max(remainingWait, oldestWait);
    }

    /** Requests at the upstream and the time that they keep it busy, in milliseconds. */
    public record Work(int requests, double millis) {}

    private record PeerWork(int requests, double millis, long receivedAt) {

        boolean isRecent(long now) {
            return now - receivedAt < MAXIMUM_PEER_WORK_AGE.toNanos();
        }
    }
}
