package io.banyantally.internal.idempotency;

import java.util.Optional;

/**
 * The answer of a claimer to a {@link StatusQuery}.
 *
 * @param known the claim's latest record; empty if the claimer has restarted since or no longer has the claim
 */
record StatusAnswer(Optional<CallRecord> known) {}
