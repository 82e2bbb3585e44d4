package io.banyantally.internal.configuration;

import io.banyantally.model.Revision;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;

/**
 * The stored value that makes a set of buckets the configuration in force.
 *
 * @param recentWrites the last {@link #REMEMBERED_WRITES} writes, latest last; a writer whose answer was lost finds its
 *     write here even when another writer came after it
 * @param buckets the hash of each bucket, empty for a bucket without entries
 */
record Manifest(long revision, List<WriteStamp> recentWrites, Roster roster, List<String> buckets) {

    /** A writer reads back within seconds; at 37,000 changes a day 32 writes cover more than a minute. */
    static final int REMEMBERED_WRITES = 32;

    static final String NO_BUCKET = "";

    static final Manifest EMPTY =
            new Manifest(0, List.of(), Roster.EMPTY, Collections.nCopies(Bucket.COUNT, NO_BUCKET));

    /** Copies the lists and rejects a wrong number of buckets. */
    Manifest {
        recentWrites = List.copyOf(recentWrites);
        buckets = List.copyOf(buckets);
        if (buckets.size() != Bucket.COUNT) {
            throw new IllegalArgumentException(
                    "manifest " + revision + " lists " + buckets.size() + " buckets; it must list " + Bucket.COUNT);
        }
    }

    Revision numbered() {
        return new Revision(revision);
    }

    /** Returns the manifest that follows this one. */
    Manifest next(WriteStamp stamp, Roster newRoster, List<String> newBuckets) {
        List<WriteStamp> writes = new ArrayList<>(recentWrites);
        writes.add(stamp);
        int surplus = Math.max(0, writes.size() - REMEMBERED_WRITES);
        return new Manifest(stamp.revision(), writes.subList(surplus, writes.size()), newRoster, newBuckets);
    }

    /** Returns who wrote a revision, if that is still remembered. */
    Optional<WriteStamp> writerOf(long wanted) {
        return recentWrites.stream().filter(stamp -> stamp.revision() == wanted).findAny();
    }
}
