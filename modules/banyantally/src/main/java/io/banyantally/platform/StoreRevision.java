package io.banyantally.platform;

import java.util.Comparator;

/**
 * The revision of a stored value. Every write to any key creates a higher revision.
 *
 * @param era the era of the store in which the number was assigned
 * @param value the number, which rises within an era only
 */
public record StoreRevision(StoreEra era, long value) implements Comparable<StoreRevision> {

    /** Stands for a key that does not exist; the expected revision of a compare-and-swap that creates a key. */
    public static final StoreRevision ABSENT = new StoreRevision(0);

    private static final Comparator<StoreRevision> ORDER =
            Comparator.comparing(StoreRevision::era).thenComparingLong(StoreRevision::value);

    /** Creates a revision of a store that does not name its era. */
    public StoreRevision(long value) {
        this(StoreEra.UNKNOWN, value);
    }

    /** Returns whether this revision is later than {@code other}. */
    public boolean isAfter(StoreRevision other) {
        return compareTo(other) > 0;
    }

    @Override
    public int compareTo(StoreRevision other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return era.equals(StoreEra.UNKNOWN) ? Long.toString(value) : era + ":" + value;
    }
}
