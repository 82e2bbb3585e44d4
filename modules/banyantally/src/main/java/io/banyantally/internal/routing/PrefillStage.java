package io.banyantally.internal.routing;

/**
 * The first half of a split request: this upstream computes the prompt's whole blocks, and their KV cache is then copied
 * to the upstream that decodes.
 *
 * @param prefixHash names the last whole block of the prompt, for {@code Engine.transferCache}
 * @param tokens the prompt tokens that are copied
 */
public record PrefillStage(KnownUpstream upstream, long prefixHash, int tokens) {}
