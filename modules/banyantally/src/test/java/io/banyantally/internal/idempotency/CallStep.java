package io.banyantally.internal.idempotency;

/** The steps of a protected call at which a fault can strike. */
enum CallStep {
    GRANT_LEASE,
    CLAIM,
    READ,
    SEND,
    OUTCOME
}
