package io.banyantally.model;

/** Names a service that operators configure with a template. */
public record ServiceName(String value) implements Comparable<ServiceName> {

    /** Checks the value; see {@link Identifiers#check}. */
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
