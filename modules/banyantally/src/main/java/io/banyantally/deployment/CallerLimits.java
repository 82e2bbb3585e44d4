package io.banyantally.deployment;

import java.time.Duration;

/**
 * What a caller may send, and how long it may take.
 *
 * @param headerBytes the largest request header
 * @param bodyBytes the largest request body
 * @param headerTimeout the longest time from the first byte of a request to the end of its header
 * @param idleTimeout how long a connection may stay without a request
 */
public record CallerLimits(int headerBytes, int bodyBytes, Duration headerTimeout, Duration idleTimeout) {}
