package io.banyantally.model;

/** Identifies an upstream: a replica of a model engine or of a plain service. */
public record UpstreamId(String value) implements Comparable<UpstreamId> {

    /** Rejects an empty value and one that a header can't carry; see {@link Identifiers#checkName}. */
    public UpstreamId {
        Identifiers.checkName("upstream id", value);
    }

    /** Returns an identifier that needs no escaping; rejects other values, see {@link Identifiers#check}. */
    public static UpstreamId plain(String value) {
        Identifiers.check("upstream id", value);
        return new UpstreamId(value);
    }

    @Override
    public int compareTo(UpstreamId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
