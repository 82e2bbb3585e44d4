package io.banyantally.internal.adapter;

/**
 * Has an engine send the KV cache of a prompt prefix to another.
 *
 * @param destination the IP address and port of the other engine
 */
public record CacheTransferRequest(long prefixHash, String destination) {}
