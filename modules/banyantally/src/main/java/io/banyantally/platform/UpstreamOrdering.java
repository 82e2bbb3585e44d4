package io.banyantally.platform;

import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.FencingNumber;
import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import io.banyantally.upstream.SendPermission;
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

    /**
     * Orders one upstream like {@link #order(ServiceName, AvailabilityZone, boolean, OrderToken, FencingNumber)}, and asks
     * for permission as late as the transport allows: after the connection is open and immediately before the order is
     * sent.
     *
     * @throws InterfaceUnavailableException if the permission was refused; nothing was ordered
     */
    default UpstreamId order(
            ServiceName service,
            AvailabilityZone zone,
            boolean cheap,
            OrderToken token,
            FencingNumber fencingNumber,
            SendPermission permission)
            throws PlatformException {
        if (!permission.isGranted()) {
            throw new InterfaceUnavailableException("the sender may no longer order for " + service + " in " + zone);
        }
        return order(service, zone, cheap, token, fencingNumber);
    }

    /** Gives an upstream back, and asks for permission as late as the transport allows. */
    default void giveBack(UpstreamId upstream, FencingNumber fencingNumber, SendPermission permission)
            throws PlatformException {
        if (!permission.isGranted()) {
            throw new InterfaceUnavailableException("the sender may no longer give back " + upstream);
        }
        giveBack(upstream, fencingNumber);
    }
}
