package io.banyantally.internal.configuration;

import io.banyantally.internal.timeline.EventField;
import io.banyantally.internal.timeline.EventKind;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.model.KeyId;
import io.banyantally.model.Revision;
import java.time.Duration;

/** Carries out operators' changes: writes them, passes them on, and has a majority of the roster confirm them. */
public final class ConfigurationEditor {

    /** An operator waits no longer than this for a confirmation; an accepted change is in force within 5 s. */
    static final Duration CONFIRMATION_LIMIT = Duration.ofSeconds(3);

    private final ConfigurationStore store;
    private final MajorityConfirmation confirmation;
    private final ConfigurationView view;
    private final Timeline timeline;

    /** Creates the editor. */
    public ConfigurationEditor(
            ConfigurationStore store, MajorityConfirmation confirmation, ConfigurationView view, Timeline timeline) {
        this.store = store;
        this.confirmation = confirmation;
        this.view = view;
        this.timeline = timeline;
    }

    /** Returns the configuration in force on this VM. */
    public Configuration current() {
        return view.current();
    }

    /**
     * Changes entries.
     *
     * @param basedOn the revision that the author of the change had read
     * @throws ConfigurationConflictException if an entry changed after {@code basedOn}; nothing was written
     * @throws ConfigurationNotWrittenException if the change certainly had no effect
     * @throws ConfigurationOutcomeUnknownException if the change may have taken effect
     */
    public ChangeOutcome change(Revision basedOn, ConfigurationChange change)
            throws ConfigurationConflictException, ConfigurationNotWrittenException,
                    ConfigurationOutcomeUnknownException {
        Revision revision = store.change(basedOn, change);
        return record(EventKind.CONFIGURATION_CHANGED, revision);
    }

    /** Gives a key to a client account; its secret can't be read again later. */
    public IssuedKey issueKey(Revision basedOn, KeyGenerator.NewKey key)
            throws ConfigurationConflictException, ConfigurationNotWrittenException,
                    ConfigurationOutcomeUnknownException {
        Revision revision = store.change(basedOn, ConfigurationChange.give(key.record()));
        ChangeOutcome outcome = record(
                EventKind.KEY_GIVEN,
                revision,
                EventField.of("key", key.record().id()),
                EventField.of("account", key.record().account()));
        return new IssuedKey(key.record().id(), key.text(), outcome);
    }

    /**
     * Withdraws a key. The withdrawal is accepted only when the outcome is confirmed; from then on no VM serves the key
     * for longer than the freshness limit. Repeating it asks for the confirmation again.
     */
    public ChangeOutcome withdrawKey(Revision basedOn, KeyId key)
            throws ConfigurationConflictException, ConfigurationNotWrittenException,
                    ConfigurationOutcomeUnknownException {
        Revision revision = store.change(basedOn, ConfigurationChange.withdraw(key));
        return record(EventKind.KEY_WITHDRAWN, revision, EventField.of("key", key));
    }

    private ChangeOutcome record(EventKind kind, Revision revision, EventField... details) {
        boolean confirmed = confirmation.confirm(revision, CONFIRMATION_LIMIT);
        EventField[] fields = java.util.Arrays.copyOf(details, details.length + 2);
        fields[details.length] = EventField.of("revision", revision);
        fields[details.length + 1] = EventField.of("confirmed", confirmed);
        timeline.record(kind, fields);
        return new ChangeOutcome(revision, confirmed);
    }
}
