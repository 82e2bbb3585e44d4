package io.banyantally.internal.http;

import io.banyantally.internal.routing.Router;
import io.banyantally.internal.routing.UpstreamConnector;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.internal.usage.UsageRecorder;

/** What requests need of the rest of the system to reach upstreams. */
public record UpstreamAccess(
        Router router, UpstreamConnector connector, UsageRecorder usage, ExchangeIds exchangeIds, Timeline timeline) {}
