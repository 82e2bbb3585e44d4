package io.banyantally.platform;

import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.FencingNumber;
import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import io.banyantally.upstream.SendPermission;
import java.util.List;

/** The platform interface that orders and returns upstreams, by availability zone. */
public interface UpstreamOrdering {

    /** Returns whether a repeated order with the same token orders only one upstream. */
    boolean honoursTokens();

    /** Lists the upstreams of a service in a zone that have been ordered and not returned. */
    List<OrderedUpstream> list(ServiceName service, AvailabilityZone zone) throws PlatformException;

    /**
     * Orders one upstream.
     *
     * @param fencingNumber the fencing number of the scope's owner; some receivers reject a lower one than the highest
     *     seen
     * @throws InterfaceOutcomeUnknownException if the order may have been accepted
     */
    UpstreamId order(
            ServiceName service, AvailabilityZone zone, boolean cheap, OrderToken token, FencingNumber fencingNumber)
            throws PlatformException;

    /** Returns an upstream to the platform. Idempotent. */
    void giveBack(UpstreamId upstream, FencingNumber fencingNumber) throws PlatformException;

    /**
     * Orders one upstream like {@link #order(ServiceName, AvailabilityZone, boolean, OrderToken, FencingNumber)}, and
     * checks the permission as late as the transport allows: after connecting and immediately before the order is sent.
     *
     * @throws InterfaceUnavailableException if the permission was denied; nothing was ordered
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
            throw new InterfaceUnavailableException("permission denied for an order of " + service + " in " + zone);
        }
        return order(service, zone, cheap, token, fencingNumber);
    }

    /** Returns an upstream to the platform, and checks the permission as late as the transport allows. */
    default void giveBack(UpstreamId upstream, FencingNumber fencingNumber, SendPermission permission)
            throws PlatformException {
        if (!permission.isGranted()) {
            throw new InterfaceUnavailableException("permission denied for the return of " + upstream);
        }
        giveBack(upstream, fencingNumber);
    }
}
