package io.banyantally.model;

/** The name of a model, as callers give it in requests. */
public record ModelName(String value) implements Comparable<ModelName> {

    /** Rejects an invalid value; see {@link Identifiers#check}. */
    public ModelName {
        Identifiers.check("model name", value);
    }

    @Override
    public int compareTo(ModelName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
