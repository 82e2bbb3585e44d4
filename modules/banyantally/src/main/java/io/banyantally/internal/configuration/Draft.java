package io.banyantally.internal.configuration;

import java.util.Map;

/** What a write replaces: buckets by index, and the roster. */
record Draft(Map<Integer, Bucket> buckets, Roster roster) {

    /** Copies the buckets. */
    Draft {
        buckets = Map.copyOf(buckets);
    }

    boolean changesNothing(ConfigurationSnapshot base) {
        return buckets.isEmpty() && roster.equals(base.roster());
    }
}
