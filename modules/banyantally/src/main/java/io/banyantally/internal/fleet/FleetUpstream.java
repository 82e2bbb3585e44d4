package io.banyantally.internal.fleet;

import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.UpstreamId;
import io.banyantally.upstream.EngineRole;

/**
 * An upstream, as input of the planners.
 *
 * @param cheap whether the platform may reclaim it at a few seconds' notice
 * @param running false from its order until it serves
 * @param leaving whether it drains, was given back or is being reclaimed
 * @param changing whether it is still carrying out an order
 */
public record FleetUpstream(
        UpstreamId id,
        AvailabilityZone zone,
        EngineRole role,
        boolean cheap,
        boolean running,
        boolean leaving,
        boolean changing,
        double pricePerHour) {
    /** Returns whether it serves and is not leaving. */
    public boolean stays() {
        return running && !leaving;
    }
}
