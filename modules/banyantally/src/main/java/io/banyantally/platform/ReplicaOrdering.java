package io.banyantally.platform;

import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ServiceName;

/** The platform's interface that orders a number of upstreams of a service in an availability zone. */
@FunctionalInterface
public interface ReplicaOrdering {

    /**
     * Orders a total number of upstreams. Reclaimable upstreams are counted apart from the others.
     *
     * @return false if none more of the kind can be had there at the moment
     * @throws InterfaceUnavailableException if the order was certainly not taken
     * @throws InterfaceOutcomeUnknownException if it may have been taken
     */
    boolean order(DutyHolder holder, ServiceName service, AvailabilityZone zone, boolean cheap, int count)
            throws PlatformException, InterruptedException;
}
