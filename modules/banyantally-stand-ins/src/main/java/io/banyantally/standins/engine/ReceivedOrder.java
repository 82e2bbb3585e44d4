package io.banyantally.standins.engine;

import io.banyantally.upstream.EngineOrder;

/**
 * An order as it came.
 *
 * @param accepted whether it had an effect
 * @param atMillis when, since the start of the engine
 */
public record ReceivedOrder(EngineOrder order, boolean accepted, long atMillis) {}
