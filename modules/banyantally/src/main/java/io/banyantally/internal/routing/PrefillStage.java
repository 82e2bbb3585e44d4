package io.banyantally.internal.routing;

/**
 * The prefill stage of a split request: this upstream computes the KV cache of the prompt's whole blocks, which is then
 * transferred to the upstream that decodes.
 *
 * @param prefixHash identifies the last whole block of the prompt, for {@code Engine.transferCache}
 * @param tokens the prompt tokens whose KV cache is transferred
 */
public record PrefillStage(KnownUpstream upstream, long prefixHash, int tokens) {}
