package io.banyantally.upstream;

/** The stages of a generation that an engine runs. */
public enum EngineRole {
    /** Computes the KV cache of prompts and hands it to a decoding engine. */
    PREFILL,
    /** Generates output tokens from imported KV caches. */
    DECODE,
    /** Computes prompts and generates output tokens. */
    MIXED
}
