package io.banyantally.internal.fleet;

import io.banyantally.internal.authority.ScopePayloads;
import io.banyantally.internal.authority.ScopeTask;
import io.banyantally.internal.configuration.ConfigurationView;
import io.banyantally.internal.orders.TargetSource;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.time.Sleeper;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ServiceName;
import io.banyantally.platform.KeyValueStore;
import java.util.Set;
import java.util.function.Supplier;

/** Creates the task that plans a service by its demand, and the targets of each (service, zone) scope from the plan. */
public final class FleetController {

    private final ConfigurationView configuration;
    private final DemandView demand;
    private final FleetMemberSource members;
    private final Supplier<Set<AvailabilityZone>> zones;
    private final FleetSettings settings;
    private final MonotonicClock clock;
    private final ScopePayloads records;

    /** Creates the controller; it starts no task itself. */
    public FleetController(
            ConfigurationView configuration,
            DemandView demand,
            FleetMemberSource members,
            Supplier<Set<AvailabilityZone>> zones,
            FleetSettings settings,
            MonotonicClock clock,
            KeyValueStore store) {
        this.configuration = configuration;
        this.demand = demand;
        this.members = members;
        this.zones = zones;
        this.settings = settings;
        this.clock = clock;
        this.records = new ScopePayloads(store);
    }

    /** Returns the task for the owner of {@link FleetScopes#planOf}. */
    public ScopeTask planTask(ServiceName service) {
        return new FleetPlanTask(service, configuration, demand, members, zones, settings, clock, Sleeper.SYSTEM);
    }

    /** Returns the targets of a (service, zone) scope for one ownership; call it after the scope was acquired. */
    public TargetSource targets(ServiceName service, AvailabilityZone zone) {
        return new ZoneTargets(service, zone, records, clock);
    }
}
