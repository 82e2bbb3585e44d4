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

/** The freshest known VM list. The last change of each entry has a number, so that peers can request only changes. */
final class DirectoryChangeLog {

    /** Keeps an answer within the payload limit if entries take at most 500 bytes. */
    static final int MAXIMUM_CHANGES_PER_ANSWER = 2_000;

    /** Removals that are kept; when there are more, all are discarded, and peers that missed one get the full list. */
    static final int MAXIMUM_REMOVALS = 4_000;

    private final Incarnation incarnation;
    private final MonotonicClock clock;
    private final Map<String, DirectoryEntry> entries = new HashMap<>();
    private final Map<String, Long> changeNumbersById = new HashMap<>();
    private final NavigableMap<Long, String> idsByChangeNumber = new TreeMap<>();
    private long lastChangeNumber;
    private long discardedThrough;
    private int removalCount;
    private boolean hasList;
    private long readAtNanos;

    DirectoryChangeLog(Incarnation incarnation, MonotonicClock clock) {
        this.incarnation = incarnation;
        this.clock = clock;
    }

    /**
     * Replaces the list if the new one is fresher. A list that was read earlier may show a leaving upstream as live.
     *
     * @param newReadAtNanos this VM's monotonic clock when the list was requested, not later than the platform's answer
     * @return whether the list differs from the previous one
     */
    synchronized boolean replaceIfFresher(Map<String, DirectoryEntry> list, long newReadAtNanos) {
        if (hasList && newReadAtNanos - readAtNanos <= 0) {
            return false;
        }
        boolean isFirst = !hasList;
        hasList = true;
        readAtNanos = newReadAtNanos;
        long previousLastNumber = lastChangeNumber;
        list.forEach((id, entry) -> {
            if (!entry.equals(entries.get(id))) {
                entries.put(id, entry);
                assignChangeNumber(id);
            }
        });
        List<String> removedIds =
                entries.keySet().stream().filter(id -> !list.containsKey(id)).toList();
        removedIds.forEach(id -> {
            entries.remove(id);
            assignChangeNumber(id);
            removalCount++;
        });
        discardOldRemovals();
        return isFirst || lastChangeNumber != previousLastNumber;
    }

    /** Records that the current list was read again, unchanged. */
    synchronized void confirmUnchanged(long newReadAtNanos) {
        if (hasList && newReadAtNanos - readAtNanos > 0) {
            readAtNanos = newReadAtNanos;
        }
    }

    private void assignChangeNumber(String id) {
        Long previousNumber = changeNumbersById.put(id, ++lastChangeNumber);
        if (previousNumber != null) {
            idsByChangeNumber.remove(previousNumber);
        }
        idsByChangeNumber.put(lastChangeNumber, id);
    }

    private void discardOldRemovals() {
        if (removalCount <= MAXIMUM_REMOVALS) {
            return;
        }
        idsByChangeNumber.values().removeIf(id -> !entries.containsKey(id));
        changeNumbersById.keySet().retainAll(entries.keySet());
        discardedThrough = lastChangeNumber;
        removalCount = 0;
    }

    /** Returns the entries of the freshest known list. */
    synchronized List<DirectoryEntry> list() {
        return List.copyOf(entries.values());
    }

    /** Returns the nanoseconds since the platform was asked for this list; {@link Long#MAX_VALUE} if there is none. */
    synchronized long ageNanos() {
        return hasList ? clock.nanoTime() - readAtNanos : Long.MAX_VALUE;
    }

    synchronized DirectoryAnswer answer(DirectoryQuery query) {
        boolean whole = !query.incarnation().equals(incarnation.toString())
                || query.after() < discardedThrough
                || query.after() == 0;
        long after = whole ? 0 : query.after();
        List<DirectoryRow> rows = new ArrayList<>();
        long through = after;
        boolean more = false;
        for (Map.Entry<Long, String> change :
                idsByChangeNumber.tailMap(after, false).entrySet()) {
            if (rows.size() == MAXIMUM_CHANGES_PER_ANSWER) {
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
            through = lastChangeNumber;
        }
        long ageNanos = ageNanos();
        return new DirectoryAnswer(
                incarnation.toString(),
                whole,
                through,
                more,
                ageNanos == Long.MAX_VALUE ? -1 : ageNanos / 1_000_000 + 1,
                rows);
    }
}
