package io.banyantally.internal.http;

/** Token counts of a complete answer. */
record GenerationResult(int promptTokens, int cachedTokens, int outputTokens) {}
