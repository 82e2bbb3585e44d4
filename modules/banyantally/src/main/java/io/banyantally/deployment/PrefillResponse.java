package io.banyantally.deployment;

/** The response of a prefill engine: the handle of the KV cache of the prompt, which can be fetched once. */
public record PrefillResponse(String handle) {}
