package io.banyantally.standins.engine;

/**
 * What the work of an engine costs. Durations are in nanoseconds.
 *
 * @param prefillTokensPerSecond prompt tokens that are computed in a second when nothing else runs
 * @param decodeBaseNanos the part of a step that does not depend on the batch
 * @param decodePerStreamNanos what each stream in the batch adds to a step
 * @param prefillChunkTokens prompt tokens that a step computes at most beside decoding streams
 * @param maximumBatch streams that decode at once at most
 * @param cacheBlocks KV cache capacity in blocks, shared by running streams and cached prefixes
 * @param transferTokensPerSecond KV cache tokens that are exported or imported in a second
 * @param roleChangeNanos how long the engine does nothing after an order to change role
 * @param reportLagNanos how old the state in a load report is
 * @param cacheEventLagNanos how late a cache event becomes visible
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
    /** Tokens in a block of KV cache, as both sites count them. */
    public static final int BLOCK_TOKENS = 2_000;

    private static final long MILLISECOND = 1_000_000L;

    /** An engine of the kind that the experiment uses. */
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

    /** Rejects costs with which no work would end. */
    public EngineCosts {
        if (!(prefillTokensPerSecond > 0) || !(transferTokensPerSecond > 0) || decodeBaseNanos < 1) {
            throw new IllegalArgumentException("engine rates are not valid: prefill " + prefillTokensPerSecond
                    + " tokens/s, transfer " + transferTokensPerSecond + " tokens/s, decode base " + decodeBaseNanos
                    + " ns; use numbers above 0");
        }
        if (prefillChunkTokens < 1 || maximumBatch < 1 || cacheBlocks < 1) {
            throw new IllegalArgumentException("engine room is not valid: prefill chunk " + prefillChunkTokens
                    + " tokens, batch " + maximumBatch + ", cache " + cacheBlocks + " blocks; use 1 or more");
        }
    }

    /** Returns how long a step takes. */
    public long stepNanos(int decodingStreams, int prefillTokens) {
        long decode = decodingStreams == 0 ? 0 : decodeBaseNanos + decodePerStreamNanos * decodingStreams;
        return decode + Math.round(prefillTokens / prefillTokensPerSecond * 1e9);
    }

    /** Returns the blocks that a number of tokens takes. */
    public static int blocksOf(int tokens) {
        return (tokens + BLOCK_TOKENS - 1) / BLOCK_TOKENS;
    }
}
