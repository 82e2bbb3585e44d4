package io.banyantally.model;

/** The id that a caller gives to one attempt of a request; each attempt has another one. */
public record AttemptId(String value) {

    /** Rejects an empty value and one that a header can't carry; see {@link Identifiers#checkName}. */
    public AttemptId {
        Identifiers.checkName("attempt id", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
