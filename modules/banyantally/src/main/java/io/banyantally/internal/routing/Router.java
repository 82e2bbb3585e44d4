package io.banyantally.internal.routing;

/** Chooses the upstream of a request. */
@FunctionalInterface
public interface Router {

    /**
     * Chooses an upstream and counts the request as in flight there until the route is closed.
     *
     * @throws NoUpstreamException if no upstream may get the request
     */
    Route choose(RoutingRequest request) throws NoUpstreamException;
}
