package io.banyantally.upstream;

/**
 * An engine's load as it was when the report was made, with a lag.
 *
 * @param number rises with every report, so that an older one is recognised
 * @param queuedPromptTokens prompt tokens that wait for prefill
 * @param runningStreams streams in the batch
 * @param usedBlocks KV cache blocks in use
 * @param totalBlocks KV cache blocks in all
 */
public record LoadReport(
        long number, long queuedPromptTokens, int runningStreams, int usedBlocks, int totalBlocks, EngineRole role) {}
