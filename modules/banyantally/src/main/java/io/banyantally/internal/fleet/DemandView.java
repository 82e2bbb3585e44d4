package io.banyantally.internal.fleet;

import io.banyantally.model.ServiceName;
import java.util.Optional;

/** Provides the total demand for a service on all VMs. */
@FunctionalInterface
public interface DemandView {

    /** Returns the demand; empty until it is known well enough to plan with. */
    Optional<Demand> demand(ServiceName service);
}
