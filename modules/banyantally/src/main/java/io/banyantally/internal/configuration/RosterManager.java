package io.banyantally.internal.configuration;

import io.banyantally.model.Revision;
import io.banyantally.model.VmId;
import java.time.Duration;

/**
 * Changes the roster by one VM at a time. The change is written first; only after a majority of the old roster applied it
 * does a second write make the new roster the base of majorities. A change that was left half done, because its author
 * was lost, is completed by the next call of any VM.
 */
public final class RosterManager {

    private static final Duration CONFIRMATION_LIMIT = Duration.ofSeconds(2);

    private final ConfigurationStore store;
    private final ConfigurationReplica replica;
    private final MajorityConfirmation confirmation;

    /** Creates the manager. */
    public RosterManager(ConfigurationStore store, ConfigurationReplica replica, MajorityConfirmation confirmation) {
        this.store = store;
        this.replica = replica;
        this.confirmation = confirmation;
    }

    /** Adds a VM; returns whether it is in the base of majorities now. Does nothing when it is there already. */
    public boolean add(VmId vm) throws ConfigurationNotWrittenException, ConfigurationOutcomeUnknownException {
        if (!completeChange()) {
            return false;
        }
        changeRoster(base -> base.roster().isChanging() || base.roster().base().contains(vm)
                ? base.roster()
                : base.roster().adding(vm, base.revision().next().value()));
        // Another VM's change came first: its author completes it.
        return replica.snapshot().roster().next().contains(vm)
                && completeChange()
                && replica.snapshot().roster().base().contains(vm);
    }

    /**
     * Removes a VM; returns whether it is out of the base of majorities now. Called by the owner of the scope
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

    /** Completes a change under way; returns whether the roster is settled now. */
    public boolean completeChange() throws ConfigurationNotWrittenException, ConfigurationOutcomeUnknownException {
        Revision revision = changeRoster(ConfigurationSnapshot::roster);
        Roster pending = replica.snapshot().roster();
        if (!pending.isChanging()) {
            return true;
        }
        if (!confirmation.confirm(revision, CONFIRMATION_LIMIT)) {
            return false;
        }
        changeRoster(base -> base.roster().equals(pending) ? pending.settled() : base.roster());
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
