package io.banyantally.internal.routing;

/**
 * A route that a request could take, with its score; lower scores are better.
 *
 * @param prefill the upstream of the prefill stage; null when one upstream does both
 * @param cachedBlocks leading blocks that the upstream which computes the prompt probably has cached
 */
record ScoredRoute(UpstreamState upstream, UpstreamState prefill, int cachedBlocks, double score) {}
