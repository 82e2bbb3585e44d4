package io.banyantally.testing;

/** The calls of the key-value service, for choosing where a fault strikes. */
public enum StoreOperation {
    GET,
    COMPARE_AND_SWAP,
    GRANT_LEASE,
    RENEW_LEASE,
    REVOKE_LEASE,
    AWAIT_CHANGE
}
