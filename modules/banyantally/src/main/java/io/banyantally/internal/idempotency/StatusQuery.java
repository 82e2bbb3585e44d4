package io.banyantally.internal.idempotency;

/** Asks a claimer over the topic {@code idempotency.status} what became of one of its claims. */
record StatusQuery(long incarnation, long attempt) {}
