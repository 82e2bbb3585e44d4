package io.banyantally.internal.fleet;

import io.banyantally.model.ServiceName;
import java.util.Optional;

/** Tells what callers ask of a service on all VMs together. */
@FunctionalInterface
public interface DemandView {

    /** Returns the demand; empty while too little was heard to plan with. */
    Optional<Demand> demand(ServiceName service);
}
