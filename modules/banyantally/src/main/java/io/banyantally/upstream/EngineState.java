package io.banyantally.upstream;

import io.banyantally.model.FencingNumber;

/**
 * What an engine says of itself when it is read back.
 *
 * @param changing whether an order is still being carried out
 */
public record EngineState(EngineTarget target, boolean changing, FencingNumber highestSeen, long lastSequence) {}
