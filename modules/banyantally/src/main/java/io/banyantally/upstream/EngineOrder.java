package io.banyantally.upstream;

import io.banyantally.model.FencingNumber;

/**
 * An order to an engine, sent by the owner of its scope.
 *
 * @param fencingNumber the owner's fencing number
 * @param sequence increases with every order of the scope
 * @param target what the engine should be after the order; an order names a state, so repeating it is harmless
 */
public record EngineOrder(FencingNumber fencingNumber, long sequence, EngineTarget target) {}
