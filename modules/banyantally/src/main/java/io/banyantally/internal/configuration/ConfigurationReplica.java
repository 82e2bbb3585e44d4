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
 * The configuration in force on this VM, and how recently it was known to be current. All instants are readings of this
 * VM's monotonic clock.
 */
public final class ConfigurationReplica implements ConfigurationView {

    /** A keyed request is served only with a proof that is not older. */
    public static final Duration PROOF_LIMIT = Duration.ofSeconds(2);

    /**
     * A proof from the platform that is older means that the platform does not answer: a reader's watch renews it every
     * 400 ms and other VMs ask every 200 ms, so it stays under 1.1 s while the platform answers.
     */
    static final Duration PLATFORM_SILENCE = Duration.ofMillis(1200);

    private final VmId self;
    private final Incarnation incarnation;
    private final MonotonicClock clock;
    private final Timeline timeline;
    private final Invariants invariants;
    private final long startedAt;
    private final Map<VmId, PeerContact> contacts = new ConcurrentHashMap<>();
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

    /** Puts a configuration in force if its revision is higher; returns whether it did. */
    synchronized boolean apply(ConfigurationSnapshot offered) {
        if (!offered.revision().isAfter(revision())) {
            return false;
        }
        return install(offered);
    }

    /** Replaces the configuration. Checks the order of the revisions again, independently of the caller. */
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
        state = state.with(offered);
        timeline.record(
                EventKind.CONFIGURATION_APPLIED,
                EventField.of("revision", offered.revision()),
                EventField.of("before", before));
        return true;
    }

    /**
     * Notes that the platform's revision was {@code proven} at an instant or later. Has no effect until that revision is
     * applied.
     */
    synchronized void creditPlatform(Revision proven, long instant) {
        if (!proven.isAfter(revision())) {
            state = state.provenByPlatform(instant, instant - startedAt > 0);
        }
    }

    /**
     * Checks a revision that the platform gave against the one in force before it was asked.
     *
     * @throws InvariantViolationException if the platform has lost a write; its answer must not be used
     */
    void requireNotReverted(Revision beforeAsking, Revision answered) throws InvariantViolationException {
        invariants.require(
                Promise.CONFIGURATION_NEVER_REVERTS,
                !beforeAsking.isAfter(answered),
                () -> "the platform has revision " + answered + ", but " + beforeAsking + " is in force");
    }

    /** Notes a peer's answer to a question sent at {@code contact.askedAt()}. */
    void noteContact(VmId peer, PeerContact contact) {
        contacts.put(peer, contact);
        renewMajorityProof();
    }

    /**
     * Renews the proof from contact with a majority. It holds as of the instant by which every member of the majority
     * had been asked. Members that report contact with the platform don't count: their proof is passed on instead.
     */
    synchronized void renewMajorityProof() {
        ReplicaState now = state;
        Roster roster = now.snapshot().roster();
        // Read once: a sort whose order changes with the clock is wrong.
        long present = clock.nanoTime();
        List<Long> instants = new ArrayList<>();
        for (VmId member : roster.base()) {
            instantOf(member, now, present).ifPresent(instants::add);
        }
        if (instants.size() < roster.majority()) {
            return;
        }
        instants.sort(Comparator.comparingLong((Long instant) -> present - instant));
        state = now.provenByMajority(instants.get(roster.majority() - 1));
    }

    /** Returns when a member was last known to have applied nothing higher than this VM. */
    private Optional<Long> instantOf(VmId member, ReplicaState now, long present) {
        if (member.equals(self)) {
            return now.voter() && !hearsPlatform(now) ? Optional.of(present) : Optional.empty();
        }
        PeerContact contact = contacts.get(member);
        boolean counts = contact != null
                && contact.voter()
                && !contact.hearsPlatform()
                && !contact.revision().isAfter(now.snapshot().revision())
                && present - contact.askedAt() <= PROOF_LIMIT.toNanos();
        return counts ? Optional.of(contact.askedAt()) : Optional.empty();
    }

    /** Forgets the answers of VMs that are neither connected nor in the roster. */
    void retainContacts(Set<VmId> known) {
        contacts.keySet().retainAll(known);
    }

    /**
     * Returns whether this VM counts in a majority. A VM that restarted has forgotten what it confirmed before, so it
     * counts only after a proof as of an instant later than its start.
     */
    boolean isVoter() {
        return state.voter();
    }

    /** Returns whether the platform was heard recently, directly or through a peer. */
    boolean hearsPlatform() {
        return hearsPlatform(state);
    }

    boolean hearsPlatform(ReplicaState now) {
        return now.platformProof().isPresent() && isWithin(now.platformProof().get(), PLATFORM_SILENCE);
    }

    /** Returns the configuration together with its proof, for one consistent answer. */
    ReplicaState state() {
        return state;
    }

    /** Returns the age of the proof from the platform, if there is one. */
    Optional<Duration> platformAge(ReplicaState of) {
        return of.platformProof().map(clock::since);
    }

    /** Returns whether this VM may serve keyed requests now. */
    public boolean isProven() {
        return isProven(state);
    }

    boolean isProven(ReplicaState of) {
        return of.platformProof().filter(this::isFresh).isPresent()
                || of.majorityProof().filter(this::isFresh).isPresent();
    }

    private boolean isFresh(long instant) {
        return isWithin(instant, PROOF_LIMIT);
    }

    private boolean isWithin(long instant, Duration limit) {
        return clock.nanoTime() - instant <= limit.toNanos();
    }
}
