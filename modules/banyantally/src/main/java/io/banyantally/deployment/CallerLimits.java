package io.banyantally.deployment;

import java.time.Duration;

/**
 * Limits on the size and duration of the requests of callers.
 *
 * @param headerBytes the largest request header, in bytes
 * @param bodyBytes the largest request body, in bytes
 * @param headerTimeout the longest time from the first byte of a request to the end of its header
 * @param idleTimeout how long a connection may stay open without a request
 */
public record CallerLimits(int headerBytes, int bodyBytes, Duration headerTimeout, Duration idleTimeout) {}
