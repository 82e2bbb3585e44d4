package io.banyantally.internal.configuration;

/**
 * A request to a peer for its configuration's revision and proof.
 *
 * @param revision the requester's revision; a peer with a lower one first fetches the configuration from the requester
 */
record ProofQuery(long revision) {}
