package io.banyantally.internal.routing;

import io.banyantally.internal.admission.WorkEstimate;
import io.banyantally.internal.configuration.Configuration;
import io.banyantally.internal.configuration.ServiceKind;
import io.banyantally.internal.configuration.ServiceTemplate;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.Incarnation;
import io.banyantally.model.ModelName;
import io.banyantally.model.Revision;
import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import io.banyantally.model.VmId;
import io.banyantally.testing.FakePeerHub;
import io.banyantally.testing.ManualClock;
import io.banyantally.upstream.EngineRole;
import io.banyantally.upstream.LoadReport;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/** Simulates the routers of several VMs with one manual clock, and the engines of one service. */
final class RoutingSimulation {
    static final ServiceName SERVICE = new ServiceName("asistente");
    static final AvailabilityZone ZONE = new AvailabilityZone("quito-n");

    final ManualClock clock = new ManualClock();
    final FakePeerHub hub = new FakePeerHub();
    final List<LoadAwareRouter> routers = new ArrayList<>();
    final List<ReportingEngine> engines = new ArrayList<>();
    private List<KnownUpstream> catalogue = List.of();

    RoutingSimulation(int vmCount, int engineCount) {
        for (int engine = 0; engine < engineCount; engine++) {
            engines.add(new ReportingEngine());
        }
        setLeaving(Set.of());
        ServiceTemplate template =
                new ServiceTemplate(SERVICE, ServiceKind.MODEL, List.of(), List.of(), List.of(), 1, 100, 1);
        Configuration configuration =
                new Configuration(Revision.NONE, Map.of(SERVICE, template), Map.of(), Map.of(), Set.of());
        for (int vm = 0; vm < vmCount; vm++) {
            Peer self = new Peer(new VmId("entry-" + vm), new Incarnation(vm + 1L), ZONE);
            RandomGenerator random = new SplittableRandom(vm);
            routers.add(new LoadAwareRouter(
                    self.vm(),
                    clock,
                    service -> catalogue,
                    new ReportingConnector(this),
                    () -> configuration,
                    hub.join(self),
                    new Timeline(self.vm(), self.incarnation(), 100, event -> {}),
                    RouterSettings.in(ZONE),
                    () -> random));
        }
    }

    /** Replaces the catalogue by one in which exactly these engines are leaving. */
    void setLeaving(Set<Integer> leaving) {
        List<KnownUpstream> known = new ArrayList<>();
        for (int engine = 0; engine < engines.size(); engine++) {
            InetSocketAddress address = InetSocketAddress.createUnresolved("unused", engine + 1);
            known.add(new KnownUpstream(engineId(engine), SERVICE, ZONE, address, false, leaving.contains(engine)));
        }
        catalogue = List.copyOf(known);
    }

    static UpstreamId engineId(int engine) {
        return new UpstreamId("engine-" + engine);
    }

    int engineIndex(KnownUpstream upstream) {
        return upstream.address().getPort() - 1;
    }

    Route choose(int vm, long... hashes) throws NoUpstreamException {
        return choose(vm, Set.of(), hashes);
    }

    Route choose(int vm, Set<UpstreamId> excluded, long... hashes) throws NoUpstreamException {
        WorkEstimate work = new WorkEstimate(hashes.length * PrefixHashes.BLOCK_TOKENS + 500, 100);
        RoutingRequest request = new RoutingRequest(SERVICE, Optional.of(new ModelName("model")), "", work, excluded);
        return routers.get(vm).choose(request, hashes);
    }

    void setReport(int engine, long number, long queuedTokens, int streams) {
        engines.get(engine).report = new LoadReport(number, queuedTokens, streams, 10, 400, EngineRole.MIXED);
    }

    void pollAll() {
        routers.forEach(LoadAwareRouter::poll);
    }

    void exchangeAll() {
        routers.forEach(LoadAwareRouter::exchange);
    }
}
