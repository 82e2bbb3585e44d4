package io.banyantally.deployment;

/** The part of a generation that an engine of a deployment carries out. */
public enum EngineStage {
    /** Computes KV caches of prompts only. */
    PREFILL,
    /** Generates tokens, and computes the KV cache of a prompt itself where none is handed over. */
    DECODE,
    /** Not an engine, or an engine that does not say. */
    NONE
}
