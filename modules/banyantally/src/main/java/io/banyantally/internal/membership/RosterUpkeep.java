package io.banyantally.internal.membership;

import io.banyantally.internal.authority.OwnedScope;
import io.banyantally.internal.authority.ScopeTask;
import io.banyantally.internal.configuration.ConfigurationNotWrittenException;
import io.banyantally.internal.configuration.ConfigurationOutcomeUnknownException;
import io.banyantally.internal.configuration.ConfigurationView;
import io.banyantally.internal.configuration.RosterManager;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.model.VmId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The task of the owner of the scope {@code roster}: removes VMs that the platform's list has not named for a while. */
public final class RosterUpkeep implements ScopeTask {

    private static final EventLog LOG = EventLog.of(RosterUpkeep.class);
    private static final Duration INTERVAL = Duration.ofSeconds(5);

    /** Longer than the lag of the platform's list, so that a new VM is not removed before it is listed. */
    private static final Duration MISSING_LIMIT = Duration.ofSeconds(60);

    /** An older list says nothing of the present. */
    private static final Duration LIST_AGE_LIMIT = Duration.ofSeconds(5);

    private final DirectorySpread directory;
    private final ConfigurationView configuration;
    private final RosterManager roster;
    private final MonotonicClock clock;

    /** Creates the task. */
    public RosterUpkeep(
            DirectorySpread directory, ConfigurationView configuration, RosterManager roster, MonotonicClock clock) {
        this.directory = directory;
        this.configuration = configuration;
        this.roster = roster;
        this.clock = clock;
    }

    @Override
    public void run(OwnedScope scope) throws InterruptedException {
        Map<VmId, Long> missingSince = new HashMap<>();
        while (scope.isGranted()) {
            Optional<Set<VmId>> listed = directory.entryVms();
            if (listed.isPresent() && directory.age().compareTo(LIST_AGE_LIMIT) <= 0) {
                noteMissing(listed.get(), missingSince);
            }
            attend(missingSince);
            Thread.sleep(INTERVAL);
        }
    }

    private void attend(Map<VmId, Long> missingSince) {
        try {
            // A VM that joined and died before its change was confirmed leaves the roster in between two sets.
            if (roster.completeChange()) {
                removeOne(missingSince);
            }
        } catch (ConfigurationNotWrittenException | ConfigurationOutcomeUnknownException failure) {
            LOG.warn("roster_upkeep_failed", EventField.of("reason", failure.getMessage()));
        }
    }

    private void noteMissing(Set<VmId> listed, Map<VmId, Long> missingSince) {
        Set<VmId> members = configuration.current().roster();
        missingSince.keySet().removeIf(vm -> listed.contains(vm) || !members.contains(vm));
        members.stream()
                .filter(vm -> !listed.contains(vm))
                .forEach(vm -> missingSince.putIfAbsent(vm, clock.nanoTime()));
    }

    /** One at a time, since two rosters that differ by more need not share a majority. */
    private void removeOne(Map<VmId, Long> missingSince)
            throws ConfigurationNotWrittenException, ConfigurationOutcomeUnknownException {
        Optional<VmId> gone = missingSince.entrySet().stream()
                .filter(entry -> clock.since(entry.getValue()).compareTo(MISSING_LIMIT) > 0)
                .map(Map.Entry::getKey)
                .min(VmId::compareTo);
        if (gone.isPresent() && roster.remove(gone.get())) {
            missingSince.remove(gone.get());
            LOG.info("roster_vm_removed", EventField.of("vm", gone.get()));
        }
    }
}
