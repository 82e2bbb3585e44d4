package io.banyantally.internal.configuration;

import java.util.Map;

/** The parts of a snapshot that a write replaces: buckets by index, and the roster. */
record SnapshotUpdate(Map<Integer, Bucket> buckets, Roster roster) {

    /** Copies the buckets. */
    SnapshotUpdate {
        buckets = Map.copyOf(buckets);
    }

    boolean isNoOpFor(ConfigurationSnapshot base) {
        return buckets.isEmpty() && roster.equals(base.roster());
    }
}
