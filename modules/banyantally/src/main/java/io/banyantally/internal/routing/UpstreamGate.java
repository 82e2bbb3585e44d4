package io.banyantally.internal.routing;

import io.banyantally.internal.invariant.InvariantViolationException;
import io.banyantally.internal.invariant.Invariants;
import io.banyantally.internal.invariant.Promise;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.UpstreamId;
import io.banyantally.platform.DirectoryEntry;
import io.banyantally.platform.VmKind;
import io.banyantally.platform.VmState;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The last check before work is sent to an upstream, for requests with and without a key. Counts the running work, so
 * that the owner of a planned change knows when the upstream is drained.
 */
public final class UpstreamGate {

    /**
     * Time within which the router must stop choosing an upstream after this VM has learned that it is leaving or held.
     */
    static final Duration NOTICE_LIMIT = Duration.ofSeconds(2);

    private final HoldTable holds;
    private final MonotonicClock clock;
    private final Invariants invariants;
    private final Map<UpstreamId, Long> leavingSince = new ConcurrentHashMap<>();
    private final Map<UpstreamId, AtomicInteger> running = new ConcurrentHashMap<>();

    private volatile Set<UpstreamId> listedUpstreams = Set.of();

    /** Creates a gate without upstreams. */
    public UpstreamGate(HoldTable holds, MonotonicClock clock, Invariants invariants) {
        this.holds = holds;
        this.clock = clock;
        this.invariants = invariants;
    }

    /** Updates the leaving and listed upstreams; called with the entries of each new VM directory. */
    public void update(List<DirectoryEntry> entries) {
        Set<UpstreamId> listed = new HashSet<>();
        Set<UpstreamId> active = new HashSet<>();
        for (DirectoryEntry entry : entries) {
            if (entry.kind() != VmKind.ENTRY) {
                UpstreamId upstream = UpstreamId.plain(entry.id());
                listed.add(upstream);
                if (entry.state() == VmState.LEAVING) {
                    leavingSince.putIfAbsent(upstream, clock.nanoTime());
                } else {
                    active.add(upstream);
                }
            }
        }
        leavingSince.keySet().removeIf(upstream -> active.contains(upstream) || !listed.contains(upstream));
        for (UpstreamId upstream : running.keySet()) {
            if (!listed.contains(upstream)) {
                running.computeIfPresent(upstream, (id, count) -> count.get() == 0 ? null : count);
            }
        }
        listedUpstreams = Set.copyOf(listed);
    }

    /** Returns whether the last VM directory listed the upstream. */
    boolean isListed(UpstreamId upstream) {
        return listedUpstreams.contains(upstream);
    }

    /**
     * Begins work at an upstream; called right before the first byte is sent, and closed when the work has ended.
     *
     * @return empty if the upstream gets no new work now, so that another one has to be chosen
     * @throws InvariantViolationException if the router chose an upstream that has been leaving for too long
     */
    public Optional<RunningWork> tryBegin(UpstreamId upstream) throws InvariantViolationException {
        RunningWork work = new RunningWork(addRunning(upstream));
        // Counted before the check, so that the report of a hold set after the check includes this work.
        Optional<Long> leavingOrHeldSince = leavingOrHeldSince(upstream);
        if (leavingOrHeldSince.isEmpty() && holds.isSynced()) {
            return Optional.of(work);
        }
        work.close();
        long now = clock.nanoTime();
        invariants.require(
                Promise.LEAVING_GETS_NO_NEW_WORK,
                leavingOrHeldSince.isEmpty() || now - leavingOrHeldSince.get() <= NOTICE_LIMIT.toNanos(),
                () -> "upstream " + upstream + " was chosen "
                        + Duration.ofNanos(now - leavingOrHeldSince.orElse(now)).toMillis()
                        + " ms after this VM learned that it is leaving or held");
        return Optional.empty();
    }

    private Optional<Long> leavingOrHeldSince(UpstreamId upstream) {
        Long leaving = leavingSince.get(upstream);
        if (leaving != null) {
            return Optional.of(leaving);
        }
        return holds.heldUpstreams().contains(upstream) ? Optional.of(holds.heldSince(upstream)) : Optional.empty();
    }

    /** Returns the number of requests that this VM has running at an upstream. */
    public int running(UpstreamId upstream) {
        AtomicInteger count = running.get(upstream);
        return count == null ? 0 : count.get();
    }

    private AtomicInteger addRunning(UpstreamId upstream) {
        return running.compute(upstream, (id, present) -> {
            AtomicInteger count = present == null ? new AtomicInteger() : present;
            count.incrementAndGet();
            return count;
        });
    }
}
