package io.banyantally.model;

/** Names a region, a group of availability zones. */
public record Region(String value) implements Comparable<Region> {

    /** Checks the value; see {@link Identifiers#check}. */
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
