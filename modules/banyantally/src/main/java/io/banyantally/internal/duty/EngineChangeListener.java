package io.banyantally.internal.duty;

import io.banyantally.deployment.ReplicaEntry;
import java.time.Duration;

/** Is told of engines that carry out an order. */
@FunctionalInterface
public interface EngineChangeListener {

    /** Records that an engine has begun to carry out an order and refuses requests for about {@code time}. */
    void begun(ReplicaEntry engine, Duration time);
}
