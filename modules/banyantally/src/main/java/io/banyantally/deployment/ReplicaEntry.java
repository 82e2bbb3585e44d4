package io.banyantally.deployment;

import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ServiceName;
import io.banyantally.model.SoftwareVersion;
import io.banyantally.model.UpstreamId;
import java.net.InetSocketAddress;
import java.util.OptionalLong;

/**
 * The entry that an upstream publishes in the store.
 *
 * @param slots how many requests it processes concurrently
 * @param draining whether it accepts no new work
 * @param cheap whether the platform may reclaim it
 * @param startedAtMillis when its process started, in wall-clock milliseconds; differs after a restart under the same
 *     id
 * @param sequence counts the entries that the upstream writes in one lifetime; empty if it does not count them
 * @param version the version of its software; a stream goes on only at the version that began it
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
        OptionalLong startedAtMillis,
        OptionalLong sequence,
        SoftwareVersion version) {

    /** Rejects upstreams without a slot. */
    public ReplicaEntry {
        if (slots < 1) {
            throw new IllegalArgumentException("upstream " + id + " has " + slots + " slots; use 1 or more");
        }
    }

    /** Returns the same entry with another stage. */
    public ReplicaEntry withStage(EngineStage newStage) {
        return new ReplicaEntry(
                id, service, address, zone, slots, draining, newStage, cheap, startedAtMillis, sequence, version);
    }
}
