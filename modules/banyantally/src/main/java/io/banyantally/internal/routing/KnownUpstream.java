package io.banyantally.internal.routing;

import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import java.net.InetSocketAddress;

/**
 * An upstream that this VM knows of.
 *
 * @param cheap whether the platform may reclaim it at a few seconds' notice, at a lower price
 * @param leaving whether it must get no new work
 */
public record KnownUpstream(
        UpstreamId id,
        ServiceName service,
        AvailabilityZone zone,
        InetSocketAddress address,
        boolean cheap,
        boolean leaving) {

    /** Returns the same upstream as one that must get no new work. */
    KnownUpstream asLeaving() {
        return new KnownUpstream(id, service, zone, address, cheap, true);
    }
}
