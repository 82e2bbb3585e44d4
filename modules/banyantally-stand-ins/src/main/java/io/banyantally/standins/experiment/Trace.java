package io.banyantally.standins.experiment;

import io.banyantally.model.AvailabilityZone;
import java.util.List;

/**
 * The requests and the reclaim of a run at a site, the same for every policy.
 *
 * @param reclaimAt when the platform announces that it takes back all cheap upstreams of a zone
 */
record Trace(
        Site site,
        long seed,
        double load,
        long lengthNanos,
        List<TraceRequest> requests,
        long reclaimAt,
        AvailabilityZone reclaimedZone) {}
