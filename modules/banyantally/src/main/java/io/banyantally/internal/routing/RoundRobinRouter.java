package io.banyantally.internal.routing;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Chooses upstreams in turn, whatever their load. A baseline, and enough for tests of other parts. */
public final class RoundRobinRouter implements Router {

    private final UpstreamCatalogue catalogue;
    private final AtomicInteger next = new AtomicInteger();

    /** Creates a router over a catalogue. */
    public RoundRobinRouter(UpstreamCatalogue catalogue) {
        this.catalogue = catalogue;
    }

    @Override
    public Route choose(RoutingRequest request) throws NoUpstreamException {
        List<KnownUpstream> candidates = catalogue.upstreams(request.service()).stream()
                .filter(upstream -> !upstream.leaving() && !request.excluded().contains(upstream.id()))
                .toList();
        if (candidates.isEmpty()) {
            throw new NoUpstreamException(request.service(), "none is running, or all have failed it");
        }
        KnownUpstream chosen = candidates.get(Math.floorMod(next.getAndIncrement(), candidates.size()));
        return new SimpleRoute(chosen);
    }

    private record SimpleRoute(KnownUpstream upstream) implements Route {

        @Override
        public void tokenReceived() {}

        @Override
        public void failed() {}

        @Override
        public void close() {}
    }
}
