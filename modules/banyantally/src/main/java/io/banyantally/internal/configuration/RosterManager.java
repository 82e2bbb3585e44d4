package io.banyantally.internal.configuration;

import io.banyantally.model.Revision;
import io.banyantally.model.VmId;
import java.time.Duration;

/**
 * Changes the roster by one VM at a time, in two writes: the first starts the change; the second, after a majority of
 * the old roster has applied the first, makes the new roster the base of majorities. If the VM that started a change
 * fails before the second write, the next call on any VM completes the change.
 */
public final class RosterManager {

    private static final Duration CONFIRMATION_TIMEOUT = Duration.ofSeconds(2);

    private final ConfigurationStore store;
    private final ConfigurationReplica replica;
    private final MajorityConfirmation confirmation;

    /** Creates a manager that writes to {@code store} and has changes confirmed by {@code confirmation}. */
    public RosterManager(ConfigurationStore store, ConfigurationReplica replica, MajorityConfirmation confirmation) {
        this.store = store;
        this.replica = replica;
        this.confirmation = confirmation;
    }

    /** Adds a VM unless it is a member already; returns whether it is in the base of majorities now. */
    public boolean add(VmId vm) throws ConfigurationNotWrittenException, ConfigurationOutcomeUnknownException {
        if (!completeChange()) {
            return false;
        }
        changeRoster(base -> base.roster().isChanging() || base.roster().base().contains(vm)
                ? base.roster()
                : base.roster().adding(vm, base.revision().next().value()));
        // If another VM started a change first, that VM completes it.
        return replica.snapshot().roster().next().contains(vm)
                && completeChange()
                && replica.snapshot().roster().base().contains(vm);
    }

    /**
     * Removes a VM; returns whether it is no longer in the base of majorities. Called by the owner of the scope
     * {@code roster} for VMs that the platform no longer lists.
     */
    public boolean remove(VmId vm) throws ConfigurationNotWrittenException, ConfigurationOutcomeUnknownException {
        if (!completeChange()) {
            return false;
        }
        changeRoster(base -> base.roster().isChanging() || !base.roster().base().contains(vm)
                ? base.roster()
                : base.roster().removing(vm, base.revision().next().value()));
        return !replica.snapshot().roster().next().contains(vm)
                && completeChange()
                && !replica.snapshot().roster().base().contains(vm);
    }

    /** Completes a change in progress; returns false if it is still unconfirmed after 2 s or another change follows. */
    public boolean completeChange() throws ConfigurationNotWrittenException, ConfigurationOutcomeUnknownException {
        Revision revision = changeRoster(ConfigurationSnapshot::roster);
        Roster pending = replica.snapshot().roster();
        if (!pending.isChanging()) {
            return true;
        }
        if (!confirmation.confirm(revision, CONFIRMATION_TIMEOUT)) {
            return false;
        }
        changeRoster(base -> base.roster().equals(pending) ? pending.withChangeCompleted() : base.roster());
        return !replica.snapshot().roster().isChanging();
    }

    private Revision changeRoster(RosterEdit edit)
            throws ConfigurationNotWrittenException, ConfigurationOutcomeUnknownException {
        try {
            return store.changeRoster(edit);
        } catch (ConfigurationConflictException impossible) {
            throw new IllegalStateException("a roster change replaces no entries", impossible);
        }
    }
}
