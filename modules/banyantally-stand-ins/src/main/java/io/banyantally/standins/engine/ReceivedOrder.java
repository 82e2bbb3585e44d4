package io.banyantally.standins.engine;

import io.banyantally.upstream.EngineOrder;

/**
 * An order that an engine received.
 *
 * @param accepted whether it was applied
 * @param atMillis when it arrived, in milliseconds since the start of the engine
 */
public record ReceivedOrder(EngineOrder order, boolean accepted, long atMillis) {}
