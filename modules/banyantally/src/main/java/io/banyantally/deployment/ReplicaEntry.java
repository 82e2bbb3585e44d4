package io.banyantally.deployment;

import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import java.net.InetSocketAddress;
import java.util.OptionalLong;

/**
 * What an upstream publishes of itself.
 *
 * @param slots how many requests it processes at once
 * @param draining whether it takes no new work
 * @param cheap whether the platform may reclaim it
 * @param startedAtMillis the wall-clock start of its process; differs after a restart under the same id
 */
public record ReplicaEntry(
        UpstreamId id,
        ServiceName service,
        InetSocketAddress address,
        AvailabilityZone zone,
        int slots,
        boolean draining,
        EngineStage stage,
        boolean cheap,
        OptionalLong startedAtMillis) {

    /** Rejects upstreams without a slot. */
    public ReplicaEntry {
        if (slots < 1) {
            throw new IllegalArgumentException("upstream " + id + " has " + slots + " slots; 1 is the least");
        }
    }

    /** Returns the same entry with another stage. */
    public ReplicaEntry withStage(EngineStage newStage) {
        return new ReplicaEntry(id, service, address, zone, slots, draining, newStage, cheap, startedAtMillis);
    }
}
