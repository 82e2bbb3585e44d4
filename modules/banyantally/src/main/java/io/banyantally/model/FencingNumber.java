package io.banyantally.model;

/**
 * A fencing token that increases with each owner of a scope; receivers reject numbers below the highest they have seen.
 */
public record FencingNumber(long value) implements Comparable<FencingNumber> {

    /** Stands for no owner; lower than the number of any owner. */
    public static final FencingNumber NONE = new FencingNumber(0);

    /** Rejects negative values. */
    public FencingNumber {
        if (value < 0) {
            throw new IllegalArgumentException("fencing number " + value + " is negative; use 0 or more");
        }
    }

    /** Returns the number that follows this one. */
    public FencingNumber next() {
        return new FencingNumber(value + 1);
    }

    /** Returns whether this number is higher than {@code other}. */
    public boolean isAfter(FencingNumber other) {
        return value > other.value;
    }

    @Override
    public int compareTo(FencingNumber other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
