package io.banyantally.deployment;

import java.time.Duration;

/**
 * The properties that all engines of a service share.
 *
 * @param slots how many requests an engine processes concurrently
 * @param cacheTokens the capacity of the KV cache of an engine, in tokens
 * @param stageChangeTime how long an engine is unavailable while it changes its stage
 * @param cacheTokenBytes the size of the KV cache of a token; 0 if it is not known
 */
public record EngineRule(int slots, long cacheTokens, Duration stageChangeTime, long cacheTokenBytes) {

    /** Creates the properties of engines whose cache size in bytes is not known. */
    public EngineRule(int slots, long cacheTokens, Duration stageChangeTime) {
        this(slots, cacheTokens, stageChangeTime, 0);
    }
}
