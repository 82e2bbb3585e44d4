package io.banyantally.model;

/** Names an adapter that an engine can load beside a model. */
public record AdapterName(String value) implements Comparable<AdapterName> {

    /** Checks the value; see {@link Identifiers#check}. */
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
