package io.banyantally.internal.wiring;

import com.codahale.metrics.MetricRegistry;
import dagger.Binds;
import dagger.Module;
import dagger.Provides;
import io.banyantally.internal.admission.Admission;
import io.banyantally.internal.admission.FairAdmission;
import io.banyantally.internal.configuration.ConfigurationReplica;
import io.banyantally.internal.configuration.ConfigurationView;
import io.banyantally.internal.configuration.KeyVerifier;
import io.banyantally.internal.fleet.DemandMeter;
import io.banyantally.internal.http.EntryServer;
import io.banyantally.internal.http.ExchangeIds;
import io.banyantally.internal.http.UpstreamAccess;
import io.banyantally.internal.idempotency.CallLedger;
import io.banyantally.internal.idempotency.StoredCallLedger;
import io.banyantally.internal.invariant.Invariants;
import io.banyantally.internal.membership.Membership;
import io.banyantally.internal.operator.OperatorHandler;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.routing.DirectoryCatalogue;
import io.banyantally.internal.routing.HoldTable;
import io.banyantally.internal.routing.HoldingCatalogue;
import io.banyantally.internal.routing.LoadAwareRouter;
import io.banyantally.internal.routing.RouterSettings;
import io.banyantally.internal.routing.UpstreamCatalogue;
import io.banyantally.internal.routing.UpstreamConnector;
import io.banyantally.internal.routing.UpstreamGate;
import io.banyantally.internal.settings.EntrySettings;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.internal.usage.UsageRecorder;
import io.banyantally.platform.Platform;
import jakarta.inject.Singleton;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

/** Provides the components that process requests: admission, routing, the call ledger and the server. */
@Module
abstract class RequestModule {

    @Provides
    @Singleton
    static DirectoryCatalogue directoryCatalogue(Timeline timeline) {
        return new DirectoryCatalogue(timeline);
    }

    @Provides
    @Singleton
    static HoldTable holdTable(MonotonicClock clock, Timeline timeline) {
        return new HoldTable(clock, timeline);
    }

    @Provides
    @Singleton
    static UpstreamCatalogue catalogue(DirectoryCatalogue listed, HoldTable holds) {
        return new HoldingCatalogue(listed, holds);
    }

    @Provides
    @Singleton
    static UpstreamGate gate(HoldTable holds, MonotonicClock clock, Invariants invariants) {
        return new UpstreamGate(holds, clock, invariants);
    }

    @Provides
    @Singleton
    static DemandMeter demandMeter() {
        return new DemandMeter();
    }

    @Provides
    @Singleton
    static LoadAwareRouter loadAwareRouter(
            Peer self,
            MonotonicClock clock,
            UpstreamCatalogue catalogue,
            UpstreamConnector connector,
            ConfigurationView configuration,
            PeerNetwork network,
            Timeline timeline) {
        return new LoadAwareRouter(
                self.vm(),
                clock,
                catalogue,
                connector,
                configuration,
                network,
                timeline,
                RouterSettings.in(self.zone()),
                ThreadLocalRandom::current);
    }

    @Provides
    @Singleton
    static FairAdmission fairAdmission(
            Peer self,
            MonotonicClock clock,
            LoadAwareRouter capacities,
            ConfigurationView configuration,
            PeerNetwork network) {
        return new FairAdmission(self.vm(), clock, capacities, configuration, network);
    }

    @Binds
    abstract Admission admission(FairAdmission admission);

    @Provides
    @Singleton
    static StoredCallLedger storedLedger(
            Platform platform,
            PeerNetwork network,
            Peer self,
            MonotonicClock clock,
            Invariants invariants,
            Timeline timeline) {
        return new StoredCallLedger(platform.keyValueStore(), network, self, clock, invariants, timeline);
    }

    @Binds
    abstract CallLedger ledger(StoredCallLedger ledger);

    @Provides
    @Singleton
    static UpstreamAccess upstreams(
            LoadAwareRouter router,
            UpstreamConnector connector,
            UpstreamGate gate,
            DemandMeter demand,
            UsageRecorder usage,
            Peer self,
            Timeline timeline) {
        return new UpstreamAccess(router, router, connector, gate, demand, usage, new ExchangeIds(self), timeline);
    }

    @Provides
    @Singleton
    static EntryServer server(
            EntrySettings settings,
            MetricRegistry metrics,
            ConfigurationView configuration,
            ConfigurationReplica replica,
            KeyVerifier keys,
            Admission admission,
            UpstreamAccess upstreams,
            CallLedger ledger,
            Membership membership,
            OperatorHandler operators) {
        return new EntryServer(
                settings,
                new EntryServer.Services(
                        metrics,
                        configuration,
                        keys,
                        admission,
                        upstreams,
                        ledger,
                        membership,
                        () -> replica.isProven() && !membership.isDraining(),
                        Optional.of(operators)));
    }
}
