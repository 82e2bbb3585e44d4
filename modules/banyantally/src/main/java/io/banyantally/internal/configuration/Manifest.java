package io.banyantally.internal.configuration;

import io.banyantally.model.Revision;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;

/**
 * The root of the stored configuration: the current manifest determines which buckets are in force.
 *
 * @param recentWrites the last {@link #MAXIMUM_RECENT_WRITES} writes, latest last; a writer whose answer was lost
 *     finds its write here even if other writes followed
 * @param buckets the hash of each bucket, {@link #EMPTY_BUCKET_HASH} for a bucket without entries
 */
record Manifest(long revision, List<WriteStamp> recentWrites, Roster roster, List<String> buckets) {

    /** A writer reads back within seconds; at 37,000 changes a day, 32 writes cover more than a minute. */
    static final int MAXIMUM_RECENT_WRITES = 32;

    static final String EMPTY_BUCKET_HASH = "";

    static final Manifest EMPTY =
            new Manifest(0, List.of(), Roster.EMPTY, Collections.nCopies(Bucket.COUNT, EMPTY_BUCKET_HASH));

    /** Copies the lists and rejects a wrong number of buckets. */
    Manifest {
        recentWrites = List.copyOf(recentWrites);
        buckets = List.copyOf(buckets);
        if (buckets.size() != Bucket.COUNT) {
            throw new IllegalArgumentException(
                    "manifest " + revision + " lists " + buckets.size() + " buckets; it must list " + Bucket.COUNT);
        }
    }

    Revision toRevision() {
        return new Revision(revision);
    }

    /** Returns the successor of this manifest, with the write added to the recent writes. */
    Manifest next(WriteStamp stamp, Roster newRoster, List<String> newBuckets) {
        List<WriteStamp> writes = new ArrayList<>(recentWrites);
        writes.add(stamp);
        int surplus = Math.max(0, writes.size() - MAXIMUM_RECENT_WRITES);
        return new Manifest(stamp.revision(), writes.subList(surplus, writes.size()), newRoster, newBuckets);
    }

    /** Returns the stamp of the write that created a revision, if it is among the recent writes. */
    Optional<WriteStamp> findStamp(long wantedRevision) {
        return recentWrites.stream()
                .filter(stamp -> stamp.revision() == wantedRevision)
                .findAny();
    }
}
