package io.banyantally.internal.configuration;

import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.Incarnation;
import io.banyantally.model.Revision;
import io.banyantally.model.VmId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Determines whether a majority of the roster has applied a revision. */
public final class MajorityConfirmation {

    private static final Duration REPEAT_DELAY = Duration.ofMillis(100);

    private final ConfigurationReplica replica;
    private final ConfigurationExchange exchange;
    private final MonotonicClock clock;
    private final Pause pause;

    /** Creates a confirmation that queries peers through {@code exchange}. */
    public MajorityConfirmation(
            ConfigurationReplica replica, ConfigurationExchange exchange, MonotonicClock clock, Pause pause) {
        this.replica = replica;
        this.exchange = exchange;
        this.clock = clock;
        this.pause = pause;
    }

    /** Waits until a majority has applied the revision; returns false if {@code timeout} elapses or on an interrupt. */
    boolean confirm(Revision revision, Duration timeout) {
        long start = clock.nanoTime();
        while (!isAppliedByMajority(revision)) {
            if (clock.since(start).compareTo(timeout) >= 0 || !waitBeforeRepeat()) {
                return false;
            }
        }
        return true;
    }

    private boolean waitBeforeRepeat() {
        try {
            pause.await(Jitter.around(REPEAT_DELAY));
            return true;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /**
     * Queries the roster twice. A VM that restarts loses the revision that it confirmed, and could then load an older
     * configuration from VMs that had not yet answered the first round. The second round, sent after all answers of the
     * first, proves that one set of incarnations had the revision at the same moment.
     */
    private boolean isAppliedByMajority(Revision revision) {
        Roster roster = replica.snapshot().roster();
        Map<VmId, Incarnation> firstRound = confirmingVms(roster.base(), revision);
        if (firstRound.size() < roster.majority()) {
            return false;
        }
        Map<VmId, Incarnation> secondRound = confirmingVms(firstRound.keySet(), revision);
        secondRound.entrySet().removeIf(entry -> !entry.getValue().equals(firstRound.get(entry.getKey())));
        return secondRound.size() >= roster.majority();
    }

    private Map<VmId, Incarnation> confirmingVms(Set<VmId> members, Revision revision) {
        Map<VmId, Incarnation> confirmers = new HashMap<>();
        Set<VmId> others = new java.util.TreeSet<>(members);
        if (others.remove(replica.self()) && !revision.isAfter(replica.revision())) {
            confirmers.put(replica.self(), replica.incarnation());
        }
        exchange.queryPeers(others).forEach((vm, status) -> {
            if (!revision.isAfter(status.revision())) {
                confirmers.put(vm, status.incarnation());
            }
        });
        return confirmers;
    }
}
