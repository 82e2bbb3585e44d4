package io.banyantally.internal.adapter;

import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.FencingNumber;
import io.banyantally.model.ServiceName;
import io.banyantally.platform.OrderToken;

/** The JSON request that orders one upstream. */
public record OrderingRequest(
        ServiceName service, AvailabilityZone zone, boolean cheap, OrderToken token, FencingNumber fencingNumber) {

    /** The path of orders; a GET request to it lists the upstreams. */
    public static final String PATH = "/upstreams";
}
