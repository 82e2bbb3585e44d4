package io.banyantally.deployment;

import io.banyantally.platform.StoreKey;

/**
 * Where documents lie in the platform's store.
 *
 * @param configuration the operator's configuration
 * @param replicaPrefix the start of the keys of upstreams
 */
public record DocumentKeys(StoreKey configuration, String replicaPrefix) {}
