package io.banyantally.internal.routing;

import io.banyantally.internal.authority.Authority;

/**
 * A hold that this VM's owner of a scope asked for.
 *
 * @param firstSequence a VM that tells this sequence or a later one holds the upstream
 * @param since the clock's reading when it began; the drain limit counts from here
 * @param renewedAt the clock's reading at the last renewal
 * @param ready whether the change was allowed; the peers are then told renewals only
 */
record OwnedHold(
        Authority authority, long fencingNumber, long firstSequence, long since, long renewedAt, boolean ready) {

    OwnedHold renewed(long now) {
        return new OwnedHold(authority, fencingNumber, firstSequence, since, now, ready);
    }

    OwnedHold withReady(boolean nowReady) {
        return new OwnedHold(authority, fencingNumber, firstSequence, since, renewedAt, nowReady);
    }
}
