package io.banyantally.internal.orders;

import io.banyantally.model.FencingNumber;
import io.banyantally.model.UpstreamId;
import io.banyantally.platform.OrderToken;
import java.util.List;
import java.util.Optional;

/**
 * The last call to the interface for ordering upstreams, as the scope record holds it before the call is sent.
 *
 * @param token stays the same when the order is repeated by a later owner
 * @param knownBefore the upstreams that were listed before the order; a new one is its effect
 * @param upstream the upstream to give back
 */
record UpstreamIntent(
        UpstreamAction action,
        boolean cheap,
        OrderToken token,
        FencingNumber fencingNumber,
        long sequence,
        List<UpstreamId> knownBefore,
        Optional<UpstreamId> upstream) {

    /** Copies the list. */
    UpstreamIntent {
        knownBefore = List.copyOf(knownBefore);
    }
}
