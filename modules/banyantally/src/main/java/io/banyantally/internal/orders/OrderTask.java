package io.banyantally.internal.orders;

import io.banyantally.internal.authority.AuthorityLostException;
import io.banyantally.internal.authority.OwnedScope;
import io.banyantally.internal.authority.ScopeTask;
import io.banyantally.internal.invariant.InvariantViolationException;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ServiceName;
import io.banyantally.platform.UpstreamOrdering;
import java.util.Optional;

/** The work of the owner of a (service, availability zone): engine orders and upstream orders. */
public final class OrderTask implements ScopeTask {

    private final ServiceName service;
    private final AvailabilityZone zone;
    private final TargetSource targets;
    private final EngineSource engines;
    private final UpstreamOrdering ordering;
    private final UpstreamChangeListener listener;
    private final OrderEnvironment environment;

    /** Creates the task; it keeps no state between two ownerships. */
    public OrderTask(
            ServiceName service,
            AvailabilityZone zone,
            TargetSource targets,
            EngineSource engines,
            UpstreamOrdering ordering,
            UpstreamChangeListener listener,
            OrderEnvironment environment) {
        this.service = service;
        this.zone = zone;
        this.targets = targets;
        this.engines = engines;
        this.ordering = ordering;
        this.listener = listener;
        this.environment = environment;
    }

    @Override
    public void run(OwnedScope scope) throws InterruptedException {
        try {
            OrderJournal journal = OrderJournal.open(scope);
            EngineOrderExecutor engineOrders = new EngineOrderExecutor(scope, journal, engines, listener, environment);
            UpstreamOrderExecutor upstreamOrders =
                    new UpstreamOrderExecutor(scope, service, zone, journal, ordering, listener, environment);
            while (scope.isGranted()) {
                Optional<ScopeTargets> wanted = targets.targets(scope.scope());
                if (wanted.isPresent()) {
                    engineOrders.pass(wanted.get());
                    upstreamOrders.pass(wanted.get());
                }
                scope.setOutcomesKnown(engineOrders.outcomesKnown() && upstreamOrders.outcomesKnown());
                environment.sleeper().sleep(environment.settings().reconcileInterval());
            }
            settle(scope, engineOrders, upstreamOrders);
        } catch (AuthorityLostException lost) {
            scope.abandon(lost.getMessage());
        } catch (InvariantViolationException violation) {
            // Fails closed: another process takes over after the full wait.
            scope.abandon(violation.getMessage());
        }
    }

    /** Waits until no order can take effect any more, so that a release may mark the scope as handed over. */
    private void settle(OwnedScope scope, EngineOrderExecutor engineOrders, UpstreamOrderExecutor upstreamOrders)
            throws InterruptedException {
        while (!engineOrders.outcomesKnown() || !upstreamOrders.outcomesKnown()) {
            environment.sleeper().sleep(environment.settings().reconcileInterval());
        }
        scope.setOutcomesKnown(true);
    }
}
