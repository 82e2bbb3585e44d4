package io.banyantally.internal.adapter;

import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.FencingNumber;
import io.banyantally.model.ServiceName;
import io.banyantally.platform.OrderToken;

/** An order for one upstream as it goes on the wire. */
public record OrderingRequest(
        ServiceName service, AvailabilityZone zone, boolean cheap, OrderToken token, FencingNumber fencingNumber) {

    /** Where orders go; upstreams are listed there too. */
    public static final String PATH = "/upstreams";
}
