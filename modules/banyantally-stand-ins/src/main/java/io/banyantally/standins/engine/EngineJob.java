package io.banyantally.standins.engine;

/**
 * One generation in the cost model.
 *
 * @param id unique within the engine while the job runs
 * @param prefixHashes one hash for each whole block of the prompt, each covering the prompt up to the end of that block
 * @param promptTokens tokens to compute before the first output token, resumed output among them
 * @param outputTokens tokens to generate; 0 only computes the prompt's KV cache
 * @param priority higher values are served first
 * @param firstIndex the index of the first token that this engine generates
 */
public record EngineJob(
        long id, long[] prefixHashes, int promptTokens, int outputTokens, int priority, int firstIndex) {
    /** Copies the hashes and rejects token counts and hashes that are out of range. */
    public EngineJob {
        prefixHashes = prefixHashes.clone();
        if (prefixHashes.length * (long) EngineCosts.BLOCK_TOKENS > promptTokens) {
            throw new IllegalArgumentException("job " + id + " has " + prefixHashes.length + " prefix blocks for "
                    + promptTokens + " prompt tokens; give one hash for each whole block of "
                    + EngineCosts.BLOCK_TOKENS + " tokens");
        }
        if (promptTokens < 1 || outputTokens < 0 || firstIndex < 0) {
            throw new IllegalArgumentException("job " + id + " is not valid: prompt " + promptTokens + ", output "
                    + outputTokens + ", first index " + firstIndex + "; use a prompt of 1 or more and no negatives");
        }
    }
}
