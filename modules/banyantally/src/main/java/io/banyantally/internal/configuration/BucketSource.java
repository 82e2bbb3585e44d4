package io.banyantally.internal.configuration;

/** Finds a bucket by its hash: among those held, at the platform, or at a peer. */
@FunctionalInterface
interface BucketSource {

    HeldBucket bucket(String hash) throws ConfigurationDamagedException, BucketUnavailableException;
}
