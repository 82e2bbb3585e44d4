package io.banyantally.model;

/** The name of an availability zone, as in the settings and the platform's list of VMs. */
public record AvailabilityZone(String value) implements Comparable<AvailabilityZone> {

    /** Rejects an invalid value; see {@link Identifiers#check}. */
    public AvailabilityZone {
        Identifiers.check("availability zone", value);
    }

    @Override
    public int compareTo(AvailabilityZone other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
