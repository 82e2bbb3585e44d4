package io.banyantally.standins.experiment;

import io.banyantally.internal.routing.KnownUpstream;
import io.banyantally.internal.routing.UpstreamConnector;
import io.banyantally.upstream.Engine;
import io.banyantally.upstream.PlainService;

/** Gives the router the engines of a run to poll. */
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
