package io.banyantally.internal.adapter;

import java.time.Duration;

/**
 * Connection settings of an {@link AdapterHttpClient}.
 *
 * @param connectTimeout how long a connection may take to open
 * @param pooledIdleTimeout how long an unused connection is kept; must be below the servers' idle timeout
 * @param threads the maximum number of I/O threads
 */
public record HttpClientSettings(Duration connectTimeout, Duration pooledIdleTimeout, int threads) {}
