package io.banyantally.platform;

/**
 * Counts how often the key-value service came back from an older copy of its items. Revisions and leases belong to an
 * era: after such a return the service assigns their numbers again.
 */
public record StoreEra(long value) implements Comparable<StoreEra> {

    /** Stands for a service that does not name its era; lower than any named era. */
    public static final StoreEra UNKNOWN = new StoreEra(0);

    /** Rejects negative values. */
    public StoreEra {
        if (value < 0) {
            throw new IllegalArgumentException("store era " + value + " is negative");
        }
    }

    /** Returns whether this era is later than {@code other}. */
    public boolean isAfter(StoreEra other) {
        return value > other.value;
    }

    @Override
    public int compareTo(StoreEra other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
