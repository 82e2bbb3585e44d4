package io.banyantally.internal.adapter;

import java.time.Duration;

/**
 * How an {@link AdapterHttpClient} connects.
 *
 * @param connectTimeout how long a connection may take to open
 * @param pooledIdleTimeout how long an unused connection is kept; below the idle timeout of the receivers
 * @param threads the most threads that carry bytes
 */
public record HttpClientSettings(Duration connectTimeout, Duration pooledIdleTimeout, int threads) {}
