package io.banyantally.internal.orders;

import io.banyantally.internal.peer.MessagePackCodec;
import java.util.List;
import java.util.Optional;

/** The orders of a scope as its record holds them. */
record OrderBook(List<EngineIntent> engines, Optional<UpstreamIntent> upstream) {

    static final MessagePackCodec<OrderBook> CODEC = MessagePackCodec.of(OrderBook.class);

    static final OrderBook EMPTY = new OrderBook(List.of(), Optional.empty());

    /** Copies the list. */
    OrderBook {
        engines = List.copyOf(engines);
    }
}
