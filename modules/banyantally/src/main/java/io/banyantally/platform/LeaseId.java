package io.banyantally.platform;

/**
 * Identifies a lease granted by the key-value service.
 *
 * @param era the era of the store that granted the lease; another era may give the number to another lease
 */
public record LeaseId(StoreEra era, long value) {

    /** Creates the id of a lease of a store that does not name its era. */
    public LeaseId(long value) {
        this(StoreEra.UNKNOWN, value);
    }

    @Override
    public String toString() {
        return era.equals(StoreEra.UNKNOWN) ? Long.toString(value) : era + ":" + value;
    }
}
