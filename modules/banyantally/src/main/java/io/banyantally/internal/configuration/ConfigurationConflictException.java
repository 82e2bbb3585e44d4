package io.banyantally.internal.configuration;

import io.banyantally.model.Revision;
import java.util.List;

/** A write was rejected since an entry was modified after the revision that it is based on. Nothing was written. */
public final class ConfigurationConflictException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient Revision basedOn;
    private final transient Revision current;
    private final transient List<ConflictingEntry> entries;

    /** Creates the exception with the requested and the current value of each conflicting entry. */
    public ConfigurationConflictException(Revision basedOn, Revision current, List<ConflictingEntry> entries) {
        super(entries.stream().map(ConflictingEntry::path).toList() + " changed between revision " + basedOn
                + ", which the write was based on, and revision " + current
                + "; read them again and repeat the change");
        this.basedOn = basedOn;
        this.current = current;
        this.entries = List.copyOf(entries);
    }

    /** Returns the revision that the write was based on. */
    public Revision basedOn() {
        return basedOn;
    }

    /** Returns the current revision at the platform. */
    public Revision current() {
        return current;
    }

    /** Returns the entries that were modified after {@link #basedOn()}. */
    public List<ConflictingEntry> entries() {
        return entries;
    }
}
