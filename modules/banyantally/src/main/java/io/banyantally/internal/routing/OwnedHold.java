package io.banyantally.internal.routing;

import io.banyantally.internal.authority.Authority;

/**
 * A hold that this VM requested as the owner of a scope.
 *
 * @param firstSequence the sequence of the first state; a VM that reports this one or a later one observes the hold
 * @param since when the hold began, on the monotonic clock; the drain limit counts from here
 * @param renewedAt when the hold was last renewed, on the monotonic clock
 * @param ready whether the change was allowed; from then on the peers get renewals only
 */
record OwnedHold(
        Authority authority, long fencingNumber, long firstSequence, long since, long renewedAt, boolean ready) {

    OwnedHold withRenewedAt(long now) {
        return new OwnedHold(authority, fencingNumber, firstSequence, since, now, ready);
    }

    OwnedHold withReady(boolean nowReady) {
        return new OwnedHold(authority, fencingNumber, firstSequence, since, renewedAt, nowReady);
    }
}
