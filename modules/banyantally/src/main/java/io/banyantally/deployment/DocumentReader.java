package io.banyantally.deployment;

import io.banyantally.platform.StoreKey;

/** Reads the documents that the operator and the upstreams keep in the platform's store. */
public interface DocumentReader {

    /** Reads the operator's configuration. */
    DeploymentConfiguration configuration(byte[] document) throws UnreadableDocumentException;

    /** Reads the entry of an upstream. */
    ReplicaEntry replica(StoreKey key, byte[] document) throws UnreadableDocumentException;
}
