package io.banyantally.internal.membership;

import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.Incarnation;
import io.banyantally.platform.DirectoryEntry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/** The freshest list that this VM knows, with a number for the last change of each entry, so that peers can ask for changes. */
final class DirectoryLog {

    /** Changes in one answer; an entry may have 500 bytes until the payload limit is reached. */
    static final int CHANGES_PER_ANSWER = 2_000;

    /** Removals that are remembered; a peer that missed more gets the whole list. */
    static final int REMOVALS_KEPT = 4_000;

    private final Incarnation incarnation;
    private final MonotonicClock clock;
    private final Map<String, DirectoryEntry> entries = new HashMap<>();
    private final Map<String, Long> numbers = new HashMap<>();
    private final NavigableMap<Long, String> changes = new TreeMap<>();
    private long lastNumber;
    private long forgottenThrough;
    private int removals;
    private boolean known;
    private long readAt;

    DirectoryLog(Incarnation incarnation, MonotonicClock clock) {
        this.incarnation = incarnation;
        this.clock = clock;
    }

    /**
     * Takes a list over unless a fresher one is known; a list that was read earlier could bring back a leaving upstream.
     *
     * @param newReadAt this VM's clock not later than the platform's answer was made
     * @return whether the list differs from the one before
     */
    synchronized boolean offer(Map<String, DirectoryEntry> list, long newReadAt) {
        if (known && newReadAt - readAt <= 0) {
            return false;
        }
        boolean first = !known;
        known = true;
        readAt = newReadAt;
        long before = lastNumber;
        list.forEach((id, entry) -> {
            if (!entry.equals(entries.get(id))) {
                entries.put(id, entry);
                number(id);
            }
        });
        List<String> gone =
                entries.keySet().stream().filter(id -> !list.containsKey(id)).toList();
        gone.forEach(id -> {
            entries.remove(id);
            number(id);
            removals++;
        });
        forgetOldRemovals();
        return first || lastNumber != before;
    }

    /** Notes that the present list was read again, unchanged. */
    synchronized void confirm(long newReadAt) {
        if (known && newReadAt - readAt > 0) {
            readAt = newReadAt;
        }
    }

    private void number(String id) {
        Long earlier = numbers.put(id, ++lastNumber);
        if (earlier != null) {
            changes.remove(earlier);
        }
        changes.put(lastNumber, id);
    }

    private void forgetOldRemovals() {
        if (removals <= REMOVALS_KEPT) {
            return;
        }
        changes.values().removeIf(id -> !entries.containsKey(id));
        numbers.keySet().retainAll(entries.keySet());
        forgottenThrough = lastNumber;
        removals = 0;
    }

    /** Returns the entries of the freshest list. */
    synchronized List<DirectoryEntry> list() {
        return List.copyOf(entries.values());
    }

    /** Returns the nanoseconds since the platform was asked for this list; {@link Long#MAX_VALUE} if nothing is known. */
    synchronized long ageNanos() {
        return known ? clock.nanoTime() - readAt : Long.MAX_VALUE;
    }

    synchronized DirectoryAnswer answer(DirectoryQuery query) {
        boolean whole = !query.incarnation().equals(incarnation.toString())
                || query.after() < forgottenThrough
                || query.after() == 0;
        long after = whole ? 0 : query.after();
        List<DirectoryRow> rows = new ArrayList<>();
        long through = after;
        boolean more = false;
        for (Map.Entry<Long, String> change : changes.tailMap(after, false).entrySet()) {
            if (rows.size() == CHANGES_PER_ANSWER) {
                more = true;
                break;
            }
            DirectoryEntry entry = entries.get(change.getValue());
            if (entry != null || !whole) {
                rows.add(entry == null ? DirectoryRow.removal(change.getValue()) : DirectoryRow.of(entry));
            }
            through = change.getKey();
        }
        if (!more) {
            through = lastNumber;
        }
        long age = ageNanos();
        return new DirectoryAnswer(
                incarnation.toString(), whole, through, more, age == Long.MAX_VALUE ? -1 : age / 1_000_000 + 1, rows);
    }
}
