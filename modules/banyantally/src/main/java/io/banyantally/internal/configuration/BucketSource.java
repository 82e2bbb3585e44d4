package io.banyantally.internal.configuration;

/** Loads a bucket by its hash from memory, the platform or a peer. */
@FunctionalInterface
interface BucketSource {

    EncodedBucket bucket(String hash) throws ConfigurationDamagedException, BucketUnavailableException;
}
