package io.banyantally.internal.configuration;

import io.banyantally.model.Revision;
import java.util.List;

/** An entry changed after the revision that a write was based on. Nothing was written. */
public final class ConfigurationConflictException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient Revision basedOn;
    private final transient Revision current;
    private final transient List<ConflictingEntry> entries;

    /** Creates the conflict with both sides of each entry. */
    public ConfigurationConflictException(Revision basedOn, Revision current, List<ConflictingEntry> entries) {
        super(entries.stream().map(ConflictingEntry::path).toList() + " changed between revision " + basedOn
                + ", which the write was based on, and revision " + current
                + "; read them again and repeat the change");
        this.basedOn = basedOn;
        this.current = current;
        this.entries = List.copyOf(entries);
    }

    /** Returns the revision that the write named. */
    public Revision basedOn() {
        return basedOn;
    }

    /** Returns the revision in force at the platform. */
    public Revision current() {
        return current;
    }

    /** Returns the entries that changed meanwhile. */
    public List<ConflictingEntry> entries() {
        return entries;
    }
}
