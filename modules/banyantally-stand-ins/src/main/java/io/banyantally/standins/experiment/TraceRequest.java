package io.banyantally.standins.experiment;

/**
 * One request of a trace.
 *
 * @param arrivalNanos nanoseconds since the start of the trace
 * @param prefixHashes one hash for each whole block of the prompt
 * @param vm the entry VM that the caller is connected to
 */
record TraceRequest(
        int number, long arrivalNanos, int account, int vm, long[] prefixHashes, int promptTokens, int outputTokens) {}
