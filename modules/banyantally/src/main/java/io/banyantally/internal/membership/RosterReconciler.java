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

/** The task of the scope {@code roster}: removes VMs that have been missing from the platform's list for 60 s. */
public final class RosterReconciler implements ScopeTask {

    private static final EventLog LOG = EventLog.of(RosterReconciler.class);
    private static final Duration CHECK_INTERVAL = Duration.ofSeconds(5);

    /** Longer than the lag of the platform's list, so that a new VM is not removed before it is listed. */
    private static final Duration REMOVAL_DELAY = Duration.ofSeconds(60);

    /** An older list may be outdated and is not used to find missing VMs. */
    private static final Duration MAXIMUM_LIST_AGE = Duration.ofSeconds(5);

    private final DirectorySynchronizer directory;
    private final ConfigurationView configuration;
    private final RosterManager roster;
    private final MonotonicClock clock;

    /** Creates the task; it does nothing before the scope's owner runs it. */
    public RosterReconciler(
            DirectorySynchronizer directory,
            ConfigurationView configuration,
            RosterManager roster,
            MonotonicClock clock) {
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
            if (listed.isPresent() && directory.age().compareTo(MAXIMUM_LIST_AGE) <= 0) {
                updateMissingSince(listed.get(), missingSince);
            }
            settleAndRemoveOne(missingSince);
            Thread.sleep(CHECK_INTERVAL);
        }
    }

    private void settleAndRemoveOne(Map<VmId, Long> missingSince) {
        try {
            // A VM that failed before its own join was confirmed left the roster between two sets; completeChange()
            // ends that change.
            if (roster.completeChange()) {
                removeOneMissingVm(missingSince);
            }
        } catch (ConfigurationNotWrittenException | ConfigurationOutcomeUnknownException failure) {
            LOG.warn("roster_upkeep_failed", EventField.of("reason", failure.getMessage()));
        }
    }

    private void updateMissingSince(Set<VmId> listed, Map<VmId, Long> missingSince) {
        Set<VmId> rosterVms = configuration.current().roster();
        missingSince.keySet().removeIf(vm -> listed.contains(vm) || !rosterVms.contains(vm));
        rosterVms.stream()
                .filter(vm -> !listed.contains(vm))
                .forEach(vm -> missingSince.putIfAbsent(vm, clock.nanoTime()));
    }

    /** Removes one VM at a time: majorities of two rosters that differ by more than one VM may not overlap. */
    private void removeOneMissingVm(Map<VmId, Long> missingSince)
            throws ConfigurationNotWrittenException, ConfigurationOutcomeUnknownException {
        Optional<VmId> missing = missingSince.entrySet().stream()
                .filter(entry -> clock.since(entry.getValue()).compareTo(REMOVAL_DELAY) > 0)
                .map(Map.Entry::getKey)
                .min(VmId::compareTo);
        if (missing.isPresent() && roster.remove(missing.get())) {
            missingSince.remove(missing.get());
            LOG.info("roster_vm_removed", EventField.of("vm", missing.get()));
        }
    }
}
