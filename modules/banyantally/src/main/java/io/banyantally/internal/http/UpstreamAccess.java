package io.banyantally.internal.http;

import io.banyantally.internal.fleet.DemandMeter;
import io.banyantally.internal.routing.Router;
import io.banyantally.internal.routing.UpstreamConnector;
import io.banyantally.internal.routing.UpstreamGate;
import io.banyantally.internal.routing.WorkEstimator;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.internal.usage.UsageRecorder;

/** Dependencies of the request handlers for calls to upstreams. */
public record UpstreamAccess(
        Router router,
        WorkEstimator estimator,
        UpstreamConnector connector,
        UpstreamGate gate,
        DemandMeter demand,
        UsageRecorder usage,
        ExchangeIds exchangeIds,
        Timeline timeline) {}
