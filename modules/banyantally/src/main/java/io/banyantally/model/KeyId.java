package io.banyantally.model;

/** Identifies a caller's API key without its secret part; safe to log. */
public record KeyId(String value) implements Comparable<KeyId> {

    /** Rejects an invalid value; see {@link Identifiers#check}. */
    public KeyId {
        Identifiers.check("key id", value);
    }

    @Override
    public int compareTo(KeyId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
