package io.banyantally.internal.idempotency;

/** Queries a claimer for the state of one of its claims, over the topic {@code idempotency.status}. */
record StatusQuery(long incarnation, long attempt) {}
