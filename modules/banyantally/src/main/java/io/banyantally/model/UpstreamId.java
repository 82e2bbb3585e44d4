package io.banyantally.model;

/** Identifies an upstream: a replica of a model engine or of a plain service. */
public record UpstreamId(String value) implements Comparable<UpstreamId> {

    /** Rejects an invalid value; see {@link Identifiers#check}. */
    public UpstreamId {
        Identifiers.check("upstream id", value);
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
