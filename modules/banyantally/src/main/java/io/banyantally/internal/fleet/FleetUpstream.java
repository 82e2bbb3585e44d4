package io.banyantally.internal.fleet;

import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.UpstreamId;
import io.banyantally.upstream.EngineRole;

/**
 * An upstream as the planners see it.
 *
 * @param cheap whether the platform may reclaim it at a few seconds' notice
 * @param running false while it was ordered and does not serve yet
 * @param leaving whether it drains, was given back or is being reclaimed
 * @param changing whether an order to it is still being carried out
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
    /** Returns whether it serves now and will go on. */
    public boolean stays() {
        return running && !leaving;
    }
}
