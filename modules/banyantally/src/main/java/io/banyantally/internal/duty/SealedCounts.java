package io.banyantally.internal.duty;

import io.banyantally.model.ClientAccountId;
import java.util.Map;

/** The counts of a window as they are reported, by whoever reports it. */
record SealedCounts(long window, Map<ClientAccountId, Long> counts) {

    SealedCounts {
        counts = Map.copyOf(counts);
    }
}
