package io.banyantally.internal.fleet;

import io.banyantally.internal.authority.Scope;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ServiceName;

/** Creates the scopes of plans and of orders. */
public final class FleetScopes {

    /** The scope whose owner removes VMs from the roster. */
    public static final Scope ROSTER = new Scope("roster");

    private static final String PLAN_PREFIX = "fleet-";

    private FleetScopes() {}

    /** Returns the scope whose owner plans a service in all zones. */
    public static Scope planOf(ServiceName service) {
        return new Scope(PLAN_PREFIX + service);
    }

    /** Returns the scope whose owner sends the orders for a service in one zone. */
    public static Scope ordersOf(ServiceName service, AvailabilityZone zone) {
        return new Scope(service + "@" + zone);
    }
}
