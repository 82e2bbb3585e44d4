package io.banyantally.model;

/** Names a model that callers ask for. */
public record ModelName(String value) implements Comparable<ModelName> {

    /** Checks the value; see {@link Identifiers#check}. */
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
