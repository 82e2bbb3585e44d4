package io.banyantally.internal.fleet;

import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.UpstreamId;

/** What to do about the number of upstreams. */
public sealed interface FleetOrder {
    /** Order one upstream in a zone. */
    record OrderOne(AvailabilityZone zone, boolean cheap) implements FleetOrder {}

    /** Drain an upstream and give it back. */
    record GiveBack(UpstreamId upstream) implements FleetOrder {}

    /** Move the work off an upstream within the notice of a reclaim. */
    record MoveWork(UpstreamId upstream) implements FleetOrder {}
}
