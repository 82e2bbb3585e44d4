package io.banyantally.standins.experiment;

/**
 * One request of a trace.
 *
 * @param prefixHashes one for each whole block of the prompt
 * @param vm the entry VM that the caller is connected to
 */
record TraceRequest(
        int number, long arrival, int account, int vm, long[] prefixHashes, int promptTokens, int outputTokens) {}
