package io.banyantally.standins.engine;

/**
 * Speed and capacity of a simulated engine. Durations are in nanoseconds.
 *
 * @param prefillTokensPerSecond prompt tokens computed in a second when no stream decodes
 * @param decodeBaseNanos the part of a decode step that does not depend on the batch size
 * @param decodePerStreamNanos what each stream in the batch adds to a step
 * @param prefillChunkTokens the most prompt tokens that a step computes while streams decode
 * @param maximumBatch the most streams that decode at once
 * @param cacheBlocks KV cache capacity in blocks, shared by running streams and cached prefixes
 * @param transferTokensPerSecond KV cache tokens exported or imported in a second
 * @param roleChangeNanos how long the engine is idle after an order to change role
 * @param reportLagNanos the age of the state in a load report
 * @param cacheEventLagNanos the delay until a cache event becomes visible
 * @param cacheEventGapEvery every n-th cache event is lost; 0 loses none
 */
public record EngineCosts(
        double prefillTokensPerSecond,
        long decodeBaseNanos,
        long decodePerStreamNanos,
        int prefillChunkTokens,
        int maximumBatch,
        int cacheBlocks,
        double transferTokensPerSecond,
        long roleChangeNanos,
        long reportLagNanos,
        long cacheEventLagNanos,
        int cacheEventGapEvery) {
    /** Tokens in a KV cache block at both sites. */
    public static final int BLOCK_TOKENS = 2_000;

    private static final long MILLISECOND = 1_000_000L;

    /** The engine that the experiment simulates. */
    public static final EngineCosts DEFAULT = new EngineCosts(
            20_000,
            8 * MILLISECOND,
            300_000,
            256,
            96,
            400,
            80_000,
            5_000 * MILLISECOND,
            500 * MILLISECOND,
            800 * MILLISECOND,
            17);

    /** Rejects values with which no job would ever finish. */
    public EngineCosts {
        if (!(prefillTokensPerSecond > 0) || !(transferTokensPerSecond > 0) || decodeBaseNanos < 1) {
            throw new IllegalArgumentException("engine rates are not valid: prefill " + prefillTokensPerSecond
                    + " tokens/s, transfer " + transferTokensPerSecond + " tokens/s, decode base " + decodeBaseNanos
                    + " ns; use numbers above 0");
        }
        if (prefillChunkTokens < 1 || maximumBatch < 1 || cacheBlocks < 1) {
            throw new IllegalArgumentException("engine capacity is not valid: prefill chunk " + prefillChunkTokens
                    + " tokens, batch " + maximumBatch + ", cache " + cacheBlocks + " blocks; use 1 or more");
        }
    }

    /** Returns the duration of a step in nanoseconds. */
    public long stepNanos(int decodingStreams, int prefillTokens) {
        long decode = decodingStreams == 0 ? 0 : decodeBaseNanos + decodePerStreamNanos * decodingStreams;
        return decode + Math.round(prefillTokens / prefillTokensPerSecond * 1e9);
    }

    /** Returns the number of blocks that hold a number of tokens, rounded up. */
    public static int blocksOf(int tokens) {
        return (tokens + BLOCK_TOKENS - 1) / BLOCK_TOKENS;
    }
}
