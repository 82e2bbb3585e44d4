package io.banyantally.platform;

/** Identifies a lease granted by the key-value service. */
public record LeaseId(long value) {

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
