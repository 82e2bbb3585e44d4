package io.banyantally.internal.configuration;

/**
 * Asks a peer for its configuration's revision and proof.
 *
 * @param revision the asker's revision; a peer with a lower one fetches the configuration from the asker first
 */
record ProofQuery(long revision) {}
