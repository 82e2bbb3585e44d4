package io.banyantally.upstream;

/**
 * A change of an engine's prefix cache. Events arrive late and with gaps.
 *
 * @param number increases by one with every event; a larger step is a gap
 * @param prefixHash the hash of a prompt prefix that ends at a block boundary
 * @param stored true if the prefix was stored, false if it was evicted
 */
public record CacheEvent(long number, long prefixHash, boolean stored) {}
