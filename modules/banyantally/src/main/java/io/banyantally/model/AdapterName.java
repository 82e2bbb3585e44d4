package io.banyantally.model;

/** The name of an adapter that an engine loads on top of a model. */
public record AdapterName(String value) implements Comparable<AdapterName> {

    /** Rejects an invalid value; see {@link Identifiers#check}. */
    public AdapterName {
        Identifiers.check("adapter name", value);
    }

    @Override
    public int compareTo(AdapterName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
