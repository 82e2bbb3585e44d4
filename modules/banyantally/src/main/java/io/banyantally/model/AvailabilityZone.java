package io.banyantally.model;

/** The name of an availability zone, as in the settings and the platform's list of VMs. */
public record AvailabilityZone(String value) implements Comparable<AvailabilityZone> {

    /** Rejects an empty value and one that a header can't carry; see {@link Identifiers#checkName}. */
    public AvailabilityZone {
        Identifiers.checkName("availability zone", value);
    }

    /** Returns an identifier that needs no escaping; rejects other values, see {@link Identifiers#check}. */
    public static AvailabilityZone plain(String value) {
        Identifiers.check("availability zone", value);
        return new AvailabilityZone(value);
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
