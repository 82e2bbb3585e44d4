package io.banyantally.internal.placement;

import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.model.UpstreamId;
import java.util.OptionalLong;

/**
 * One start of an upstream.
 *
 * @param startedAtMillis when it started, in wall-clock milliseconds of the upstream; empty if it does not say so
 */
record UpstreamLifetime(UpstreamId upstream, OptionalLong startedAtMillis) {

    static UpstreamLifetime of(ReplicaEntry entry) {
        return new UpstreamLifetime(entry.id(), entry.startedAtMillis());
    }
}
