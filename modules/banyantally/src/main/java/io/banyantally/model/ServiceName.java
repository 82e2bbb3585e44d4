package io.banyantally.model;

/** The name of a service that operators configure with a template. */
public record ServiceName(String value) implements Comparable<ServiceName> {

    /** Rejects an invalid value; see {@link Identifiers#check}. */
    public ServiceName {
        Identifiers.check("service name", value);
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
