package io.banyantally.internal.orders;

import io.banyantally.model.FencingNumber;
import io.banyantally.model.UpstreamId;
import io.banyantally.platform.OrderToken;
import java.util.List;
import java.util.Optional;

/**
 * The last call to the interface for ordering upstreams, written to the scope record before it is sent.
 *
 * @param token identifies the order; unchanged if a later owner repeats it
 * @param knownBefore the upstreams listed before the order; without token support, a new one is its result
 * @param upstream the upstream to give back; empty for an order
 */
record UpstreamIntent(
        UpstreamAction action,
        boolean cheap,
        OrderToken token,
        FencingNumber fencingNumber,
        long sequence,
        List<UpstreamId> knownBefore,
        Optional<UpstreamId> upstream) {

    UpstreamIntent {
        knownBefore = List.copyOf(knownBefore);
    }
}
