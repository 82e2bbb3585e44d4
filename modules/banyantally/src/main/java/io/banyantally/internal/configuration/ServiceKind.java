package io.banyantally.internal.configuration;

/** The kind of a service's replicas. */
public enum ServiceKind {
    /** Replicas are model engines. */
    MODEL,
    /** Replicas are plain services. */
    PLAIN
}
