package io.banyantally.internal.fleet;

import io.banyantally.model.ServiceName;
import java.util.List;
import java.util.Optional;

/** Lists the upstreams of a service in their current state. */
@FunctionalInterface
public interface FleetMemberSource {

    /** Returns all upstreams of a service; empty if they can't be listed, in which case nothing is planned. */
    Optional<List<FleetMember>> members(ServiceName service) throws InterruptedException;
}
