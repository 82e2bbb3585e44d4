package io.banyantally.deployment;

/** The stage of generation that an engine runs. */
public enum EngineStage {
    /** Computes KV caches of prompts only. */
    PREFILL,
    /** Generates tokens; computes the KV cache of a prompt itself if no other engine has. */
    DECODE,
    /** Not an engine, or an engine that does not report its stage. */
    NONE
}
