package io.banyantally.internal.duty;

import io.banyantally.model.ClientAccountId;
import io.banyantally.platform.StoreEra;
import java.util.Map;

/**
 * The final counts of a window; every report of the window carries these, whichever VM sends it.
 *
 * @param era the era of the store in which they were written. In a later era the item does not count: it may be of a
 *     write that the store has applied late, although another one was reported.
 */
record SealedCounts(StoreEra era, long window, Map<ClientAccountId, Long> counts) {

    SealedCounts {
        era = era == null ? StoreEra.UNKNOWN : era;
        counts = Map.copyOf(counts);
    }
}
