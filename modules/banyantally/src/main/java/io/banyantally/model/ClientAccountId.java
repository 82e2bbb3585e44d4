package io.banyantally.model;

/** Identifies a client account, the unit of limits, fairness and billing. */
public record ClientAccountId(String value) implements Comparable<ClientAccountId> {

    /** Rejects an invalid value; see {@link Identifiers#check}. */
    public ClientAccountId {
        Identifiers.check("client account", value);
    }

    @Override
    public int compareTo(ClientAccountId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
