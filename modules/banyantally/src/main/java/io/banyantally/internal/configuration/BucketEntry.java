package io.banyantally.internal.configuration;

/**
 * A template, an account's parameters or a key, with the revision that last changed it.
 *
 * @param changedAt lets a write find out whether its entry changed after the revision it was based on
 */
record BucketEntry<T>(T value, long changedAt) {}
