package io.banyantally.platform;

import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ServiceName;

/** The platform interface that sets the desired number of upstreams of a service in an availability zone. */
@FunctionalInterface
public interface ReplicaOrdering {

    /**
     * Orders a total number of upstreams. Preemptible upstreams ({@code cheap}) are counted separately from the others.
     *
     * @return false if the zone currently has no capacity for more upstreams of this kind
     * @throws InterfaceUnavailableException if the order was not accepted
     * @throws InterfaceOutcomeUnknownException if the order may have been accepted
     */
    boolean order(DutyHolder holder, ServiceName service, AvailabilityZone zone, boolean cheap, int count)
            throws PlatformException, InterruptedException;
}
