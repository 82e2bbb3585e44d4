package io.banyantally.internal.orders;

import io.banyantally.model.FencingNumber;
import io.banyantally.model.UpstreamId;
import io.banyantally.upstream.EngineOrder;
import io.banyantally.upstream.EngineTarget;

/** The last order to an engine, written to the scope record before it is sent. */
record EngineIntent(UpstreamId engine, EngineTarget target, FencingNumber fencingNumber, long sequence) {

    EngineOrder order() {
        return new EngineOrder(fencingNumber, sequence, target);
    }
}
