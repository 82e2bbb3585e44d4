package io.banyantally.internal.usage;

import io.banyantally.model.ClientAccountId;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The value at {@code usage/<bucket>/<window>}. Written once and never changed.
 *
 * @param figures the usage of this window to report for each account
 * @param billed the counter values that this and all earlier windows cover
 * @param answered the processes that answered with their own counters when this window was sealed
 * @param inactiveWindows for the other processes, the number of successive windows in which they neither answered nor
 *     had new usage
 * @param tombstones the processes that no longer answer and are fully billed, with the last window whose record has
 *     their billed counters
 */
record SealedWindow(
        long window,
        Map<ClientAccountId, SealedFigures> figures,
        CounterTable billed,
        Set<CounterOrigin> answered,
        Map<CounterOrigin, Integer> inactiveWindows,
        Map<CounterOrigin, Long> tombstones) {

    /**
     * Inactive windows after which the counters of a process are replaced by a tombstone. Replacing them too early is
     * harmless: they are read back from the record that the tombstone points to.
     */
    static final int INACTIVE_WINDOWS_BEFORE_TOMBSTONE = 8;

    /** How many windows a tombstone is kept; at least 24 h with windows of 60 s or longer. */
    static final long TOMBSTONE_WINDOWS = 1_440;

    /** The predecessor of the first window. */
    static final SealedWindow NONE = new SealedWindow(0, Map.of(), new CounterTable(), Set.of(), Map.of(), Map.of());

    SealedWindow {
        figures = new TreeMap<>(figures);
        answered = new TreeSet<>(answered);
        inactiveWindows = new TreeMap<>(inactiveWindows);
        tombstones = new TreeMap<>(tombstones);
    }
}
