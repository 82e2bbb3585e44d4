package io.banyantally.internal.idempotency;

import java.util.Optional;

/**
 * What a claimer knows of a claim.
 *
 * @param known the claim's latest record; empty if the claimer is another incarnation or no longer remembers the claim
 */
record StatusAnswer(Optional<CallRecord> known) {}
