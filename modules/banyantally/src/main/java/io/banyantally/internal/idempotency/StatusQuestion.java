package io.banyantally.internal.idempotency;

/** Asks a claimer over the topic {@code idempotency.status} what became of one of its claims. */
record StatusQuestion(long incarnation, long attempt) {}
