package io.banyantally.internal.configuration;

/** What a service is made of. */
public enum ServiceKind {
    /** Replicas are model engines. */
    MODEL,
    /** Replicas are plain services. */
    PLAIN
}
