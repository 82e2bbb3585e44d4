package io.banyantally.deployment;

import io.banyantally.model.ServiceName;

/** A service of a route and its share of the route's requests, relative to the other shares. */
public record ServiceShare(ServiceName service, int weight) {

    /** Rejects negative weights. */
    public ServiceShare {
        if (weight < 0) {
            throw new IllegalArgumentException(
                    "weight " + weight + " of service " + service + " is negative; use 0 or more");
        }
    }
}
