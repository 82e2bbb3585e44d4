package io.banyantally.upstream;

/** What part of the work an engine does. */
public enum EngineRole {
    /** Computes the KV cache of prompts and hands it to a decoding engine. */
    PREFILL,
    /** Generates output tokens from imported KV caches. */
    DECODE,
    /** Does both. */
    MIXED
}
