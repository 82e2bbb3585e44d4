package io.banyantally.deployment;

/** What a prefill engine answers: the KV cache of the prompt under a handle that can be taken once. */
public record PrefillResponse(String handle) {}
