package io.banyantally.internal.http;

/** The figures at the end of an answer. */
record GenerationResult(int promptTokens, int cachedTokens, int outputTokens) {}
