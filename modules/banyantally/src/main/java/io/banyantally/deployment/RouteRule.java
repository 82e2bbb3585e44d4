package io.banyantally.deployment;

import java.time.Duration;
import java.util.List;

/**
 * One route of the configuration.
 *
 * @param prefix the start of the paths that belong to the route; begins and ends with a slash
 * @param timeout the longest time until a request must have a response
 * @param latencyTarget the time within which a response counts as timely
 * @param priority the priority of the route; 0 is the highest
 * @param services the services that serve the route; several to split traffic, none if its requests are refused
 * @param attempts the most upstreams to which one request is sent; refusals do not count
 * @param anonymous whether requests need no key
 * @param resumable whether a broken stream may be resumed on another upstream
 */
public record RouteRule(
        String name,
        String host,
        String prefix,
        RequestKind kind,
        Duration timeout,
        Duration latencyTarget,
        int priority,
        List<ServiceShare> services,
        int attempts,
        boolean anonymous,
        boolean resumable) {

    /** Rejects prefixes without slashes at both ends, and attempts below 1. */
    public RouteRule {
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            throw new IllegalArgumentException(
                    "prefix '" + prefix + "' of route " + name + " must begin and end with a slash");
        }
        if (attempts < 1) {
            throw new IllegalArgumentException("route " + name + " allows " + attempts + " attempts; use 1 or more");
        }
        services = List.copyOf(services);
    }

    /** Returns whether a request that may have run may be sent again. */
    public boolean isRepeatable() {
        return kind == RequestKind.IDEMPOTENT || hasResumableStreams();
    }

    /** Returns whether its responses are streams that may go on at another upstream. */
    public boolean hasResumableStreams() {
        return kind == RequestKind.STREAMING && resumable;
    }
}
