package io.banyantally.model;

/** The name of a region, a group of availability zones. */
public record Region(String value) implements Comparable<Region> {

    /** Rejects an invalid value; see {@link Identifiers#check}. */
    public Region {
        Identifiers.check("region", value);
    }

    @Override
    public int compareTo(Region other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
