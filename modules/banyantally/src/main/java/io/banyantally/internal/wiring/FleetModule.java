package io.banyantally.internal.wiring;

import dagger.Module;
import dagger.Provides;
import io.banyantally.internal.authority.ScopeTask;
import io.banyantally.internal.configuration.Configuration;
import io.banyantally.internal.configuration.ConfigurationView;
import io.banyantally.internal.configuration.RosterManager;
import io.banyantally.internal.configuration.ServiceKind;
import io.banyantally.internal.configuration.ServiceTemplate;
import io.banyantally.internal.fleet.DemandMeter;
import io.banyantally.internal.fleet.EngineRates;
import io.banyantally.internal.fleet.FleetController;
import io.banyantally.internal.fleet.FleetDemand;
import io.banyantally.internal.fleet.FleetSettings;
import io.banyantally.internal.fleet.PlatformFleetMembers;
import io.banyantally.internal.invariant.Invariants;
import io.banyantally.internal.membership.DirectorySynchronizer;
import io.banyantally.internal.membership.RosterReconciler;
import io.banyantally.internal.orders.EngineSource;
import io.banyantally.internal.orders.OrderEnvironment;
import io.banyantally.internal.orders.OrderSettings;
import io.banyantally.internal.orders.OrderTask;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.routing.DirectoryCatalogue;
import io.banyantally.internal.routing.HoldTable;
import io.banyantally.internal.routing.UpstreamConnector;
import io.banyantally.internal.routing.UpstreamGate;
import io.banyantally.internal.routing.UpstreamHolds;
import io.banyantally.internal.settings.EntrySettings;
import io.banyantally.internal.settings.FleetControlSettings;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.time.Sleeper;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ServiceName;
import io.banyantally.platform.Platform;
import jakarta.inject.Singleton;
import java.time.Duration;

/**
 * Provides fleet planning, the orders that execute the plans, and the holds that keep requests off changing upstreams.
 */
@Module
abstract class FleetModule {

    @Provides
    @Singleton
    static UpstreamHolds holds(
            Peer self,
            PeerNetwork network,
            MonotonicClock clock,
            HoldTable table,
            UpstreamGate gate,
            DirectorySynchronizer directory,
            EntrySettings settings) {
        return new UpstreamHolds(
                self,
                network,
                clock,
                table,
                gate,
                directory::entryVms,
                Duration.ofSeconds(settings.drainLimitSeconds()));
    }

    @Provides
    @Singleton
    static FleetDemand demand(Peer self, PeerNetwork network, MonotonicClock clock, DemandMeter meter) {
        return new FleetDemand(self, network, clock, meter);
    }

    @Provides
    @Singleton
    static FleetController controller(
            ConfigurationView configuration,
            FleetDemand demand,
            Platform platform,
            DirectoryCatalogue listed,
            UpstreamConnector connector,
            KnownZones zones,
            EntrySettings settings,
            MonotonicClock clock) {
        PlatformFleetMembers members = new PlatformFleetMembers(
                platform.upstreamOrdering(),
                listed,
                connector,
                zones,
                service -> isModel(configuration.current(), service));
        return new FleetController(
                configuration,
                demand,
                members,
                zones,
                fleetSettings(settings.fleet()),
                clock,
                platform.keyValueStore());
    }

    private static boolean isModel(Configuration configuration, ServiceName service) {
        ServiceTemplate template = configuration.services().get(service);
        return template != null && template.kind() == ServiceKind.MODEL;
    }

    private static FleetSettings fleetSettings(FleetControlSettings settings) {
        return new FleetSettings(
                new EngineRates(
                        settings.prefillRate(),
                        settings.decodeRate(),
                        settings.mixedPrefillRate(),
                        settings.mixedDecodeRate()),
                Duration.ofSeconds(settings.roleChangeSeconds()),
                settings.regularPricePerHour(),
                settings.cheapPricePerHour(),
                Duration.ofSeconds(settings.startSeconds()),
                settings.reclaimLossSeconds());
    }

    @Provides
    @Singleton
    static OrderTasks orderTasks(
            FleetController controller,
            Platform platform,
            DirectoryCatalogue listed,
            UpstreamConnector connector,
            UpstreamHolds holds,
            MonotonicClock clock,
            Timeline timeline,
            Invariants invariants) {
        OrderEnvironment environment =
                new OrderEnvironment(OrderSettings.DEFAULT, clock, Sleeper.SYSTEM, timeline, invariants);
        return (service, zone) -> orderTask(service, zone, controller, platform, listed, connector, holds, environment);
    }

    /** Targets and holds belong to one ownership of the scope, so they are created each time the scope is acquired. */
    private static ScopeTask orderTask(
            ServiceName service,
            AvailabilityZone zone,
            FleetController controller,
            Platform platform,
            DirectoryCatalogue listed,
            UpstreamConnector connector,
            UpstreamHolds holds,
            OrderEnvironment environment) {
        EngineSource engines = id -> listed.upstreams(service).stream()
                .filter(upstream -> upstream.id().equals(id))
                .findFirst()
                .map(connector::engine);
        return scope -> new OrderTask(
                        service,
                        zone,
                        controller.targets(service, zone),
                        engines,
                        platform.upstreamOrdering(),
                        holds.ownedBy(scope),
                        environment)
                .run(scope);
    }

    @Provides
    @Singleton
    static RosterReconciler rosterReconciler(
            DirectorySynchronizer directory,
            ConfigurationView configuration,
            RosterManager roster,
            MonotonicClock clock) {
        return new RosterReconciler(directory, configuration, roster, clock);
    }
}
