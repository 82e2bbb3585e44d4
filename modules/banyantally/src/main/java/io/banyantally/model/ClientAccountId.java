package io.banyantally.model;

/** Identifies a client account, the unit of limits, fairness and billing. */
public record ClientAccountId(String value) implements Comparable<ClientAccountId> {

    /** Rejects an empty value and one that a header can't carry; see {@link Identifiers#checkName}. */
    public ClientAccountId {
        Identifiers.checkName("client account", value);
    }

    /** Returns an identifier that needs no escaping; rejects other values, see {@link Identifiers#check}. */
    public static ClientAccountId plain(String value) {
        Identifiers.check("client account", value);
        return new ClientAccountId(value);
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
