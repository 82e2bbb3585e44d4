package io.banyantally.internal.routing;

import io.banyantally.internal.authority.Authority;

/**
 * A hold that this VM's owner of a scope asked for.
 *
 * @param firstSequence a VM that tells this sequence or a later one holds the upstream
 * @param since the clock's reading when it began; the drain limit counts from here
 * @param renewedAt the clock's reading at the last renewal
 */
record OwnedHold(Authority authority, long fencingNumber, long firstSequence, long since, long renewedAt) {

    OwnedHold renewed(long now) {
        return new OwnedHold(authority, fencingNumber, firstSequence, since, now);
    }
}
