package io.banyantally.standins.experiment;

import io.banyantally.internal.routing.KnownUpstream;
import io.banyantally.internal.routing.UpstreamConnector;
import io.banyantally.upstream.Engine;
import io.banyantally.upstream.PlainService;

/** Connects the router to the engines of a run, for their load reports and cache events. */
record SimulatedConnector(SimulatedFleet fleet) implements UpstreamConnector {
    @Override
    public Engine engine(KnownUpstream upstream) {
        return fleet.engine(upstream.id());
    }

    @Override
    public PlainService plainService(KnownUpstream upstream) {
        throw new IllegalArgumentException("the experiment has no plain service " + upstream.id());
    }
}
