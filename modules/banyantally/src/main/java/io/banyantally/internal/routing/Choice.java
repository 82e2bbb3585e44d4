package io.banyantally.internal.routing;

/**
 * A possible way of a request.
 *
 * @param prefill the upstream of the prefill stage; null when one upstream does both
 * @param cachedBlocks leading blocks that the upstream which computes the prompt probably holds
 */
record Choice(UpstreamState upstream, UpstreamState prefill, int cachedBlocks, double score) {}
