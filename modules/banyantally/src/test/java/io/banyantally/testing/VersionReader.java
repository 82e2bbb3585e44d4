package io.banyantally.testing;

import io.banyantally.deployment.DeploymentConfiguration;
import io.banyantally.deployment.DocumentReader;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.UnreadableDocumentException;
import io.banyantally.platform.StoreKey;
import java.nio.charset.StandardCharsets;

/** Reads configurations that consist of their version, which any other text may follow after a space. */
public final class VersionReader implements DocumentReader {

    /** Creates a reader. */
    public VersionReader() {}

    @Override
    public DeploymentConfiguration configuration(byte[] document) throws UnreadableDocumentException {
        String version = new String(document, StandardCharsets.UTF_8).split(" ", 2)[0];
        try {
            return Deployments.configuration(Long.parseLong(version));
        } catch (NumberFormatException malformed) {
            throw new UnreadableDocumentException("not a version", malformed);
        }
    }

    @Override
    public ReplicaEntry replica(StoreKey key, byte[] document) throws UnreadableDocumentException {
        throw new UnreadableDocumentException("not used");
    }
}
