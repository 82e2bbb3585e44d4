package io.banyantally.platform;

/** The revision of one stored value; every write to any key yields a higher one. */
public record StoreRevision(long value) {

    /** Stands for a key that does not exist; expected by a compare-and-swap that creates it. */
    public static final StoreRevision ABSENT = new StoreRevision(0);

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
