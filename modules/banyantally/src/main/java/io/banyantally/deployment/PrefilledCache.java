package io.banyantally.deployment;

/** The KV cache of a prompt that a prefill engine holds until a decode engine fetches it by the handle. */
public record PrefilledCache(ReplicaEntry engine, String handle) {}
