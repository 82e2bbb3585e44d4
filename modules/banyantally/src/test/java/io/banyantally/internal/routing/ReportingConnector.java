package io.banyantally.internal.routing;

import io.banyantally.upstream.Engine;
import io.banyantally.upstream.PlainService;

/** Connects to the engines of a simulation. */
record ReportingConnector(RoutingSimulation simulation) implements UpstreamConnector {
    @Override
    public Engine engine(KnownUpstream upstream) {
        return simulation.engines.get(simulation.engineIndex(upstream));
    }

    @Override
    public PlainService plainService(KnownUpstream upstream) {
        throw new IllegalStateException("no plain service in this test");
    }
}
