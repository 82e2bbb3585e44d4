package io.banyantally.internal.admission;

import io.banyantally.model.ServiceName;
import java.util.Optional;

/** Tells what the upstreams of a service can do now. */
@FunctionalInterface
public interface CapacityView {
    /** Returns the capacity of a service; empty when it has no upstream that takes work. */
    Optional<ServiceCapacity> capacity(ServiceName service);
}
