package io.banyantally.internal.configuration;

import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.Incarnation;
import io.banyantally.model.Revision;
import io.banyantally.model.VmId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Finds out whether a majority of the roster applied a revision. */
public final class MajorityConfirmation {

    private static final Duration REPEAT_DELAY = Duration.ofMillis(100);

    private final ConfigurationReplica replica;
    private final ConfigurationExchange exchange;
    private final MonotonicClock clock;
    private final Pause pause;

    /** Creates the confirmation by the peers that {@code exchange} reaches. */
    public MajorityConfirmation(
            ConfigurationReplica replica, ConfigurationExchange exchange, MonotonicClock clock, Pause pause) {
        this.replica = replica;
        this.exchange = exchange;
        this.clock = clock;
        this.pause = pause;
    }

    /** Returns whether a majority confirmed the revision within {@code limit}. */
    boolean confirm(Revision revision, Duration limit) {
        long start = clock.nanoTime();
        while (!isAppliedByMajority(revision)) {
            if (clock.since(start).compareTo(limit) >= 0 || !waited()) {
                return false;
            }
        }
        return true;
    }

    private boolean waited() {
        try {
            pause.await(Jitter.around(REPEAT_DELAY));
            return true;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /**
     * Asks twice. A VM that restarts forgets what it confirmed, and could learn an old configuration from VMs that had
     * not yet answered the first round. The second round, sent after all answers of the first, shows that one set of
     * incarnations had the revision at the same moment.
     */
    private boolean isAppliedByMajority(Revision revision) {
        Roster roster = replica.snapshot().roster();
        Map<VmId, Incarnation> first = confirmers(roster.base(), revision);
        if (first.size() < roster.majority()) {
            return false;
        }
        Map<VmId, Incarnation> second = confirmers(first.keySet(), revision);
        second.entrySet().removeIf(entry -> !entry.getValue().equals(first.get(entry.getKey())));
        return second.size() >= roster.majority();
    }

    private Map<VmId, Incarnation> confirmers(Set<VmId> members, Revision revision) {
        Map<VmId, Incarnation> confirmers = new HashMap<>();
        Set<VmId> others = new java.util.TreeSet<>(members);
        if (others.remove(replica.self()) && !revision.isAfter(replica.revision())) {
            confirmers.put(replica.self(), replica.incarnation());
        }
        exchange.askAll(others).forEach((vm, contact) -> {
            if (!revision.isAfter(contact.revision())) {
                confirmers.put(vm, contact.incarnation());
            }
        });
        return confirmers;
    }
}
