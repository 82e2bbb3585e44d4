package io.banyantally.model;

/** The name of a service that operators configure with a template. */
public record ServiceName(String value) implements Comparable<ServiceName> {

    /** Rejects an empty value and one that a header can't carry; see {@link Identifiers#checkName}. */
    public ServiceName {
        Identifiers.checkName("service name", value);
    }

    /** Returns an identifier that needs no escaping; rejects other values, see {@link Identifiers#check}. */
    public static ServiceName plain(String value) {
        Identifiers.check("service name", value);
        return new ServiceName(value);
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
