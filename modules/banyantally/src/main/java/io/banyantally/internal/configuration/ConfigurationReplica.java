package io.banyantally.internal.configuration;

import io.banyantally.internal.invariant.InvariantViolationException;
import io.banyantally.internal.invariant.Invariants;
import io.banyantally.internal.invariant.Promise;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.internal.timeline.EventKind;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.model.Incarnation;
import io.banyantally.model.Revision;
import io.banyantally.model.VmId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The configuration in force on this VM, with the proofs that it is current. A proof is the latest instant at which the
 * configuration is known to have been current, either from the platform (directly or through a peer) or from a majority
 * of the roster. All instants are readings of this VM's monotonic clock, in nanoseconds.
 */
public final class ConfigurationReplica implements ConfigurationView {

    /** Requests with an API key are served only while the latest proof is not older than this. */
    public static final Duration MAXIMUM_PROOF_AGE = Duration.ofSeconds(2);

    /**
     * If the latest proof from the platform is older than this, the platform counts as unreachable: a reader's watch
     * renews the proof every 400 ms and other VMs poll every 200 ms, so its age stays under 1.1 s while the platform
     * answers.
     */
    static final Duration PLATFORM_PROOF_TIMEOUT = Duration.ofMillis(1200);

    private final VmId self;
    private final Incarnation incarnation;
    private final MonotonicClock clock;
    private final Timeline timeline;
    private final Invariants invariants;
    private final long startedAt;
    private final Map<VmId, PeerStatus> peerStatuses = new ConcurrentHashMap<>();
    private volatile ReplicaState state = ReplicaState.INITIAL;

    /** Creates a replica without a configuration and without a proof. */
    public ConfigurationReplica(
            VmId self, Incarnation incarnation, MonotonicClock clock, Timeline timeline, Invariants invariants) {
        this.self = self;
        this.incarnation = incarnation;
        this.clock = clock;
        this.timeline = timeline;
        this.invariants = invariants;
        this.startedAt = clock.nanoTime();
    }

    @Override
    public Configuration current() {
        return state.snapshot().configuration();
    }

    ConfigurationSnapshot snapshot() {
        return state.snapshot();
    }

    Revision revision() {
        return state.snapshot().revision();
    }

    VmId self() {
        return self;
    }

    Incarnation incarnation() {
        return incarnation;
    }

    /** Applies a configuration if its revision is higher than the current one; returns whether it was applied. */
    synchronized boolean apply(ConfigurationSnapshot offered) {
        if (!offered.revision().isAfter(revision())) {
            return false;
        }
        return install(offered);
    }

    /** Replaces the configuration; checks the revision order again, as an invariant independent of the caller. */
    private boolean install(ConfigurationSnapshot offered) {
        Revision before = revision();
        try {
            invariants.require(
                    Promise.CONFIGURATION_NEVER_REVERTS,
                    offered.revision().isAfter(before),
                    () -> "revision " + offered.revision() + " must not replace " + before);
        } catch (InvariantViolationException violation) {
            return false;
        }
        state = state.withSnapshot(offered);
        timeline.record(
                EventKind.CONFIGURATION_APPLIED,
                EventField.of("revision", offered.revision()),
                EventField.of("before", before));
        return true;
    }

    /**
     * Records that the platform was at revision {@code proven} at {@code instant} or later. Ignored if this VM has not
     * applied that revision yet.
     */
    synchronized void recordPlatformProof(Revision proven, long instant) {
        if (!proven.isAfter(revision())) {
            state = state.withPlatformProof(instant, instant - startedAt > 0);
        }
    }

    /**
     * Checks that the revision returned by the platform is not lower than the one in force before the request.
     *
     * @throws InvariantViolationException if the platform has lost a write; its answer must not be used
     */
    void requireNotReverted(Revision beforeRequest, Revision answered) throws InvariantViolationException {
        invariants.require(
                Promise.CONFIGURATION_NEVER_REVERTS,
                !beforeRequest.isAfter(answered),
                () -> "the platform has revision " + answered + ", but " + beforeRequest + " is in force");
    }

    /** Records a peer's status and renews the majority proof. */
    void recordPeerStatus(VmId peer, PeerStatus status) {
        peerStatuses.put(peer, status);
        renewMajorityProof();
    }

    /**
     * Renews the majority proof. Its instant is the earliest at which a request was sent to one of the majority's
     * members. Members with a recent proof from the platform are not counted, since that proof is forwarded instead.
     */
    synchronized void renewMajorityProof() {
        ReplicaState currentState = state;
        Roster roster = currentState.snapshot().roster();
        // Read once, since the clock must not advance between comparisons of the sort.
        long nowNanos = clock.nanoTime();
        List<Long> instants = new ArrayList<>();
        for (VmId member : roster.base()) {
            lastAgreementInstant(member, currentState, nowNanos).ifPresent(instants::add);
        }
        if (instants.size() < roster.majority()) {
            return;
        }
        instants.sort(Comparator.comparingLong((Long instant) -> nowNanos - instant));
        state = currentState.withMajorityProof(instants.get(roster.majority() - 1));
    }

    /**
     * Returns when a member was last known to have applied no higher revision than this VM; empty if the member does
     * not count in a majority.
     */
    private Optional<Long> lastAgreementInstant(VmId member, ReplicaState currentState, long nowNanos) {
        if (member.equals(self)) {
            return currentState.voter() && !hasRecentPlatformProof(currentState)
                    ? Optional.of(nowNanos)
                    : Optional.empty();
        }
        PeerStatus status = peerStatuses.get(member);
        boolean counts = status != null
                && status.voter()
                && !status.hasRecentPlatformProof()
                && !status.revision().isAfter(currentState.snapshot().revision())
                && nowNanos - status.requestSentAt() <= MAXIMUM_PROOF_AGE.toNanos();
        return counts ? Optional.of(status.requestSentAt()) : Optional.empty();
    }

    /** Removes the status of VMs that are neither connected nor in the roster. */
    void retainPeerStatuses(Set<VmId> known) {
        peerStatuses.keySet().retainAll(known);
    }

    /**
     * Returns whether this VM counts in a majority. A restarted VM has lost the revisions that it confirmed, so it
     * counts only once it has a proof with an instant after its start.
     */
    boolean isVoter() {
        return state.voter();
    }

    /** Returns whether there is a recent proof from the platform, obtained directly or through a peer. */
    boolean hasRecentPlatformProof() {
        return hasRecentPlatformProof(state);
    }

    boolean hasRecentPlatformProof(ReplicaState currentState) {
        return currentState.platformProof().isPresent()
                && isWithin(currentState.platformProof().get(), PLATFORM_PROOF_TIMEOUT);
    }

    /** Returns the configuration and its proofs as one consistent state. */
    ReplicaState state() {
        return state;
    }

    /** Returns the age of the proof from the platform, if there is one. */
    Optional<Duration> platformAge(ReplicaState of) {
        return of.platformProof().map(clock::since);
    }

    /** Returns whether this VM has a fresh proof, so that it may serve requests with an API key. */
    public boolean isProven() {
        return isProven(state);
    }

    boolean isProven(ReplicaState of) {
        return of.platformProof().filter(this::isFresh).isPresent()
                || of.majorityProof().filter(this::isFresh).isPresent();
    }

    private boolean isFresh(long instant) {
        return isWithin(instant, MAXIMUM_PROOF_AGE);
    }

    private boolean isWithin(long instant, Duration limit) {
        return clock.nanoTime() - instant <= limit.toNanos();
    }
}
