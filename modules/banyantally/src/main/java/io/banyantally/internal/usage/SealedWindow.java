package io.banyantally.internal.usage;

import io.banyantally.model.ClientAccountId;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The value at {@code usage/<bucket>/<window>}. Written once and never changed.
 *
 * @param figures what is reported
 * @param billed the counters whose usage was reported through this window
 * @param answered the processes that answered for their own work when this window was sealed
 * @param silent for how many windows the other processes did not answer and had no new usage
 * @param tombstones the processes that are gone and fully billed, with the last window whose record has their billed
 *     counters
 */
record SealedWindow(
        long window,
        Map<ClientAccountId, SealedFigures> figures,
        CounterTable billed,
        Set<CounterOrigin> answered,
        Map<CounterOrigin, Integer> silent,
        Map<CounterOrigin, Long> tombstones) {

    /** Windows after which a silent process is replaced by a tombstone. Too early does no harm: its counters are read back. */
    static final int SILENT_WINDOWS = 8;

    /** Windows that a tombstone is kept; at least 24 h. */
    static final long TOMBSTONE_WINDOWS = 1_440;

    /** Stands for what was sealed before the first window. */
    static final SealedWindow NONE = new SealedWindow(0, Map.of(), new CounterTable(), Set.of(), Map.of(), Map.of());

    SealedWindow {
        figures = new TreeMap<>(figures);
        answered = new TreeSet<>(answered);
        silent = new TreeMap<>(silent);
        tombstones = new TreeMap<>(tombstones);
    }
}
