package io.banyantally.internal.membership;

import io.banyantally.platform.DirectoryEntry;
import java.util.HashMap;
import java.util.Map;

/** What one source has told of the platform's list. Used by one task. */
final class DirectoryMirror {

    private String incarnation = "";
    private long through;
    private boolean complete;
    private final Map<String, DirectoryEntry> entries = new HashMap<>();

    DirectoryQuery query() {
        return new DirectoryQuery(incarnation, through);
    }

    /** Takes an answer in; returns whether it changed the mirror or completed it. */
    boolean take(DirectoryAnswer answer) {
        boolean continues = answer.incarnation().equals(incarnation);
        if (!answer.whole() && !continues) {
            // An answer of another life of the source belongs to no query of this mirror.
            incarnation = "";
            through = 0;
            complete = false;
            return false;
        }
        if (answer.whole()) {
            entries.clear();
        }
        for (DirectoryRow row : answer.changes()) {
            if (row.removed()) {
                entries.remove(row.id());
            } else {
                entries.put(row.id(), row.toEntry());
            }
        }
        boolean changed = answer.whole() || !answer.changes().isEmpty() || !complete;
        incarnation = answer.incarnation();
        through = answer.through();
        complete = !answer.more();
        return changed;
    }

    /** Returns whether the entries are a whole list, not a part of one that is still being told. */
    boolean isComplete() {
        return complete;
    }

    Map<String, DirectoryEntry> entries() {
        return entries;
    }
}
