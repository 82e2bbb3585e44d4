package io.banyantally.platform;

import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.ReplicaEntry;

/** Orders engines to change the stage that they carry out. */
@FunctionalInterface
public interface StageOrdering {

    /**
     * Orders a stage.
     *
     * @return false if the engine refused, such as while it carries out another order
     * @throws InterfaceUnavailableException if the order was certainly not taken
     * @throws InterfaceOutcomeUnknownException if it may have been taken, or may be carried out later
     */
    boolean order(DutyHolder holder, ReplicaEntry engine, EngineStage stage)
            throws PlatformException, InterruptedException;
}
