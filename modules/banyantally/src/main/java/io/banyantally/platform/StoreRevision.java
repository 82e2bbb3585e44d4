package io.banyantally.platform;

/** The revision of a stored value. Every write to any key creates a higher revision. */
public record StoreRevision(long value) {

    /** Stands for a key that does not exist; the expected revision of a compare-and-swap that creates a key. */
    public static final StoreRevision ABSENT = new StoreRevision(0);

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
