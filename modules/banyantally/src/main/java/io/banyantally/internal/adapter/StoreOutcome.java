package io.banyantally.internal.adapter;

/** What became of a call to the key-value service. */
public enum StoreOutcome {
    /** It took effect, or read the value. */
    DONE,
    /** The key has another revision; nothing was written. */
    CONFLICT,
    /** The lease no longer exists; nothing was written. */
    LEASE_LAPSED,
    /** The service did not carry it out. */
    REFUSED
}
