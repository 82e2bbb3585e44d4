package io.banyantally.internal.routing;

import io.banyantally.upstream.Engine;
import io.banyantally.upstream.PlainService;

/** Connects to the engines of a test. */
record ReportingConnector(RoutingWorld world) implements UpstreamConnector {
    @Override
    public Engine engine(KnownUpstream upstream) {
        return world.engines.get(world.number(upstream));
    }

    @Override
    public PlainService plainService(KnownUpstream upstream) {
        throw new IllegalStateException("no plain service in this test");
    }
}
