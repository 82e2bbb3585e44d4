package io.banyantally.internal.idempotency;

/** The steps of a call with an idempotency key at which a test may inject a fault. */
enum CallStep {
    GRANT_LEASE,
    CLAIM,
    READ,
    SEND,
    OUTCOME
}
