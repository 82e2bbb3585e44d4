package io.banyantally.standins.measure;

import io.banyantally.internal.routing.KnownUpstream;
import io.banyantally.internal.routing.UpstreamConnector;
import io.banyantally.upstream.Engine;
import io.banyantally.upstream.PlainService;

/** Fails every use, because the measurements of decisions call no upstream. */
final class RejectingUpstreamConnector implements UpstreamConnector {
    @Override
    public Engine engine(KnownUpstream upstream) {
        throw new IllegalStateException("no engine is called in a measurement of decisions: " + upstream.id());
    }

    @Override
    public PlainService plainService(KnownUpstream upstream) {
        throw new IllegalStateException("no service is called in a measurement of decisions: " + upstream.id());
    }
}
