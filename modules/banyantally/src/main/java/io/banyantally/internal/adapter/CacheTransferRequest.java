package io.banyantally.internal.adapter;

/**
 * Asks an engine to send the KV cache of a prompt prefix to another engine.
 *
 * @param destination the IP address and port of the engine that receives the cache
 */
public record CacheTransferRequest(long prefixHash, String destination) {}
