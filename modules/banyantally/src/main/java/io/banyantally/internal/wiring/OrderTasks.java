package io.banyantally.internal.wiring;

import io.banyantally.internal.authority.ScopeTask;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ServiceName;
import java.util.function.BiFunction;

/** Creates the task that sends the orders for a service in a zone. */
@FunctionalInterface
interface OrderTasks extends BiFunction<ServiceName, AvailabilityZone, ScopeTask> {}
