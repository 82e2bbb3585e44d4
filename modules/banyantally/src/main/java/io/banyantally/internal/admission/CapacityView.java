package io.banyantally.internal.admission;

import io.banyantally.model.ServiceName;
import java.util.Optional;

/** Provides the current capacity of the upstreams of each service. */
@FunctionalInterface
public interface CapacityView {
    /** Returns the capacity of a service; empty if no upstream of the service accepts work. */
    Optional<ServiceCapacity> capacity(ServiceName service);
}
