package io.banyantally.internal.fleet;

import io.banyantally.model.ServiceName;
import java.util.List;
import java.util.Optional;

/** Shows the upstreams of a service as they are. */
@FunctionalInterface
public interface FleetMemberSource {

    /** Returns all upstreams of a service; empty if they can't be listed, and then nothing is planned. */
    Optional<List<FleetMember>> members(ServiceName service) throws InterruptedException;
}
