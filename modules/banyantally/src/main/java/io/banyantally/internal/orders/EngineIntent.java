package io.banyantally.internal.orders;

import io.banyantally.model.FencingNumber;
import io.banyantally.model.UpstreamId;
import io.banyantally.upstream.EngineOrder;
import io.banyantally.upstream.EngineTarget;

/** The last order to an engine, as the scope record holds it before the order is sent. */
record EngineIntent(UpstreamId engine, EngineTarget target, FencingNumber fencingNumber, long sequence) {

    EngineOrder order() {
        return new EngineOrder(fencingNumber, sequence, target);
    }
}
