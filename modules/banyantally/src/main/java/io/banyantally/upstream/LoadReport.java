package io.banyantally.upstream;

/**
 * An engine's load at the time of the report, which lags behind.
 *
 * @param number increases with every report, so that older ones are recognized
 * @param queuedPromptTokens prompt tokens waiting for prefill
 * @param runningStreams streams in the batch
 * @param usedBlocks KV cache blocks in use
 * @param totalBlocks KV cache blocks in total
 */
public record LoadReport(
        long number, long queuedPromptTokens, int runningStreams, int usedBlocks, int totalBlocks, EngineRole role) {}
