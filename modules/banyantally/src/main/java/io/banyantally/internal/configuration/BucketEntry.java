package io.banyantally.internal.configuration;

/**
 * A service template, a client account's parameters or a key, with the revision that last changed it.
 *
 * @param changedAt the revision of the last change; a write conflicts if this is after the revision it is based on
 */
record BucketEntry<T>(T value, long changedAt) {}
