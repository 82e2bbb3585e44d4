package io.banyantally.internal.orders;

import io.banyantally.internal.peer.MessagePackCodec;
import java.util.List;
import java.util.Optional;

/** The orders that are stored in a scope record: the last one for each engine, and the last upstream order. */
record OrderBook(List<EngineIntent> engines, Optional<UpstreamIntent> upstream) {

    static final MessagePackCodec<OrderBook> CODEC = MessagePackCodec.of(OrderBook.class);

    static final OrderBook EMPTY = new OrderBook(List.of(), Optional.empty());

    OrderBook {
        engines = List.copyOf(engines);
    }
}
