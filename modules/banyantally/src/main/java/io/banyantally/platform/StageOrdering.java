package io.banyantally.platform;

import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.ReplicaEntry;

/** The platform interface that switches an engine to another inference stage. */
@FunctionalInterface
public interface StageOrdering {

    /**
     * Orders an engine to switch to a stage, if it answers at this moment.
     *
     * @throws InterfaceUnavailableException if the order was not sent or not accepted
     * @throws InterfaceOutcomeUnknownException if the order may have been accepted, or may be executed later
     */
    StageOrderOutcome order(DutyHolder holder, ReplicaEntry engine, EngineStage stage)
            throws PlatformException, InterruptedException;
}
