package io.banyantally.testing;

/** The operations of the key-value service, to select the calls that fail. */
public enum StoreOperation {
    GET,
    COMPARE_AND_SWAP,
    GRANT_LEASE,
    RENEW_LEASE,
    REVOKE_LEASE,
    AWAIT_CHANGE
}
