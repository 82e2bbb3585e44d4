package io.banyantally.deployment;

import io.banyantally.platform.StoreKey;

/**
 * Keys of documents in the platform's store.
 *
 * @param configuration the key of the operator's configuration
 * @param replicaPrefix the prefix of the keys of upstream entries
 */
public record DocumentKeys(StoreKey configuration, String replicaPrefix) {}
