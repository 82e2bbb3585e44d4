package io.banyantally.deployment;

import java.time.Duration;

/**
 * The properties that all engines of a service share.
 *
 * @param slots how many requests an engine processes concurrently
 * @param cacheTokens the capacity of the KV cache of an engine, in tokens
 * @param stageChangeTime how long an engine is unavailable while it changes its stage
 */
public record EngineRule(int slots, long cacheTokens, Duration stageChangeTime) {}
