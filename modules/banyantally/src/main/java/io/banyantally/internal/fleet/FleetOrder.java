package io.banyantally.internal.fleet;

import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.UpstreamId;

/** A change of the set of upstreams that the planner requests. */
public sealed interface FleetOrder {
    /** Order one upstream in a zone. */
    record OrderOne(AvailabilityZone zone, boolean cheap) implements FleetOrder {}

    /** Drain an upstream and give it back to the platform. */
    record GiveBack(UpstreamId upstream) implements FleetOrder {}

    /** Move the work off an upstream before the platform reclaims it. */
    record MoveWork(UpstreamId upstream) implements FleetOrder {}
}
