package io.banyantally.deployment;

import java.time.Duration;

/**
 * What the engines of a service have in common.
 *
 * @param slots how many requests an engine processes at once
 * @param cacheTokens the tokens that an engine's KV cache holds
 * @param stageChangeTime how long an engine is away while it changes its stage
 */
public record EngineRule(int slots, long cacheTokens, Duration stageChangeTime) {}
