package io.banyantally.deployment;

/** The KV cache of a prompt that an engine holds for another one to take. */
public record PrefilledCache(ReplicaEntry engine, String handle) {}
