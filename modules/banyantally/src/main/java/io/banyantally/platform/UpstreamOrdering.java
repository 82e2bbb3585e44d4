package io.banyantally.platform;

import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.FencingNumber;
import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import java.util.List;

/** The platform's interface for ordering upstreams and giving them back, by availability zone. */
public interface UpstreamOrdering {

    /** Returns whether a repeated order with the same token is recognised. */
    boolean honoursTokens();

    /** Lists the upstreams of a service in a zone that have been ordered and not given back. */
    List<OrderedUpstream> list(ServiceName service, AvailabilityZone zone) throws PlatformException;

    /**
     * Orders one upstream.
     *
     * @param fencingNumber the number of the scope's owner, refused by some receivers when it is old
     * @throws InterfaceOutcomeUnknownException if the order may have been placed
     */
    UpstreamId order(
            ServiceName service, AvailabilityZone zone, boolean cheap, OrderToken token, FencingNumber fencingNumber)
            throws PlatformException;

    /** Gives an upstream back. Idempotent. */
    void giveBack(UpstreamId upstream, FencingNumber fencingNumber) throws PlatformException;
}
