package io.banyantally.internal.fleet;

import io.banyantally.internal.authority.Scope;
import io.banyantally.internal.authority.ScopeTask;
import io.banyantally.internal.configuration.ConfigurationView;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ServiceName;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.function.Supplier;

/** Supplies a scope manager with the scopes that the current configuration requires, and their tasks. */
public final class ConfiguredScopes implements Supplier<Map<Scope, ScopeTask>> {

    private final ConfigurationView configuration;
    private final Supplier<Set<AvailabilityZone>> zones;
    private final Function<ServiceName, ScopeTask> plans;
    private final BiFunction<ServiceName, AvailabilityZone, ScopeTask> orders;
    private final Map<Scope, ScopeTask> fixed;

    /**
     * Creates the supplier.
     *
     * @param zones the zones that may have upstreams; once returned, a zone should remain
     * @param plans creates the task that plans a service
     * @param orders creates the task that sends the orders for a service in a zone
     * @param fixed scopes that always exist: the usage buckets and {@link FleetScopes#ROSTER}
     */
    public ConfiguredScopes(
            ConfigurationView configuration,
            Supplier<Set<AvailabilityZone>> zones,
            Function<ServiceName, ScopeTask> plans,
            BiFunction<ServiceName, AvailabilityZone, ScopeTask> orders,
            Map<Scope, ScopeTask> fixed) {
        this.configuration = configuration;
        this.zones = zones;
        this.plans = plans;
        this.orders = orders;
        this.fixed = Map.copyOf(fixed);
    }

    @Override
    public Map<Scope, ScopeTask> get() {
        Map<Scope, ScopeTask> scopes = new HashMap<>(fixed);
        Set<AvailabilityZone> currentZones = zones.get();
        for (ServiceName service : configuration.current().services().keySet()) {
            scopes.put(FleetScopes.planOf(service), plans.apply(service));
            for (AvailabilityZone zone : currentZones) {
                scopes.put(FleetScopes.ordersOf(service, zone), orders.apply(service, zone));
            }
        }
        return scopes;
    }
}
