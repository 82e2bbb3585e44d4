package io.banyantally.internal.membership;

import io.banyantally.platform.DirectoryEntry;
import java.util.HashMap;
import java.util.Map;

/** Copy of the platform's list as received from one peer, the source. Used by one task. */
final class DirectoryMirror {

    private String incarnation = "";
    private long through;
    private boolean complete;
    private final Map<String, DirectoryEntry> entries = new HashMap<>();

    DirectoryQuery query() {
        return new DirectoryQuery(incarnation, through);
    }

    /** Applies an answer; returns whether it changed or completed the copy. */
    boolean apply(DirectoryAnswer answer) {
        boolean sameIncarnation = answer.incarnation().equals(incarnation);
        if (!answer.whole() && !sameIncarnation) {
            // The source restarted, so these changes do not continue this copy; the next query requests the full list.
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

    /** Returns whether the entries are a full list, not part of one that is still being received. */
    boolean isComplete() {
        return complete;
    }

    Map<String, DirectoryEntry> entries() {
        return entries;
    }
}
