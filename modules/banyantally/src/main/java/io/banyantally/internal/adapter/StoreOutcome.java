package io.banyantally.internal.adapter;

/** The outcome of a request to the key-value service. */
public enum StoreOutcome {
    /** The request succeeded. */
    DONE,
    /** The key does not have the expected revision; nothing was written. */
    CONFLICT,
    /** The lease no longer exists; nothing was written. */
    LEASE_LAPSED,
    /** The service did not execute the request. */
    REFUSED
}
