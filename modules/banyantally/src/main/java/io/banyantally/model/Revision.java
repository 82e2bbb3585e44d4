package io.banyantally.model;

/** The revision number of a configuration; a higher revision replaces a lower one. */
public record Revision(long value) implements Comparable<Revision> {

    /** Stands for no configuration; lower than the revision of any configuration. */
    public static final Revision NONE = new Revision(0);

    /** Rejects negative values. */
    public Revision {
        if (value < 0) {
            throw new IllegalArgumentException("configuration revision " + value + " is negative; use 0 or more");
        }
    }

    /** Returns the number that follows this one. */
    public Revision next() {
        return new Revision(value + 1);
    }

    /** Returns whether this number is higher than {@code other}. */
    public boolean isAfter(Revision other) {
        return value > other.value;
    }

    @Override
    public int compareTo(Revision other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
