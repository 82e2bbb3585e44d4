package io.banyantally.upstream;

import io.banyantally.model.FencingNumber;

/**
 * The state of an engine, as reported by the engine.
 *
 * @param changing whether the engine is still carrying out an order
 */
public record EngineState(EngineTarget target, boolean changing, FencingNumber highestSeen, long lastSequence) {}
