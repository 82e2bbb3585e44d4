package io.banyantally.internal.exchange;

/**
 * Asks a peer for the changes under a prefix of the store.
 *
 * @param after the revision after which changes are wanted
 * @param waitMillis how long the peer may wait for a change
 */
record WatchQuery(String prefix, long after, long waitMillis) {}
