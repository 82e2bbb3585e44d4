package io.banyantally.internal.forwarding;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.deployment.RequestDialect;
import io.banyantally.internal.adapter.AdapterHttpClient;
import io.banyantally.internal.deployment.ConfigurationHolder;
import io.banyantally.internal.deployment.ReplicaRegistry;
import io.banyantally.internal.duty.UsageLedger;
import io.banyantally.internal.placement.EnginePlacement;
import io.banyantally.internal.placement.Placement;
import io.banyantally.internal.placement.RetryAllowance;
import io.banyantally.internal.placement.UpstreamTrack;
import io.banyantally.internal.placement.UpstreamTracks;
import io.banyantally.internal.time.MonotonicClock;

/**
 * Components of the gateway that request forwarding depends on.
 *
 * @param engines chooses among engines
 * @param plain chooses among upstreams of plain services
 */
public record ForwardingServices(
        ConfigurationHolder configuration,
        ReplicaRegistry replicas,
        UpstreamTracks tracks,
        EnginePlacement engines,
        Placement plain,
        RetryAllowance retries,
        RequestDialect dialect,
        AdapterHttpClient client,
        UsageLedger usage,
        MetricRegistry metrics,
        MonotonicClock clock) {

    /** Records a failure of an upstream, which is ejected if it fails too often. */
    void recordFailure(UpstreamTrack track, String reason) {
        tracks.failed(track, replicas.accepting(track.entry().service()), reason);
    }
}
