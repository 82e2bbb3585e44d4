package io.banyantally.deployment;

import io.banyantally.platform.StoreKey;

/** Parses the documents that the operator and the upstreams write to the platform's store. */
public interface DocumentReader {

    /** Parses the operator's configuration. */
    DeploymentConfiguration configuration(byte[] document) throws UnreadableDocumentException;

    /** Parses the entry of an upstream. */
    ReplicaEntry replica(StoreKey key, byte[] document) throws UnreadableDocumentException;
}
