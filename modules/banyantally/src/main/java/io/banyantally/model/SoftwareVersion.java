package io.banyantally.model;

/** The version of an upstream's software, as the upstream names it; versions have no order. */
public record SoftwareVersion(String value) {

    /** Rejects an empty value and one that a log line can't carry; see {@link Identifiers#checkName}. */
    public SoftwareVersion {
        Identifiers.checkName("software version", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
