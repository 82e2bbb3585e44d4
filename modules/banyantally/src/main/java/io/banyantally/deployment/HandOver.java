package io.banyantally.deployment;

/** The KV cache of a prompt that an engine holds for another one to take. */
public record HandOver(ReplicaEntry engine, String handle) {}
