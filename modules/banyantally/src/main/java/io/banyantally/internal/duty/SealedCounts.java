package io.banyantally.internal.duty;

import io.banyantally.model.ClientAccountId;
import java.util.Map;

/** The final counts of a window; every report of the window carries these, whichever VM sends it. */
record SealedCounts(long window, Map<ClientAccountId, Long> counts) {

    SealedCounts {
        counts = Map.copyOf(counts);
    }
}
