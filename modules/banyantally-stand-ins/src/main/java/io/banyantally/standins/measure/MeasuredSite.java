package io.banyantally.standins.measure;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.internal.authority.AuthorityEnvironment;
import io.banyantally.internal.authority.AuthoritySettings;
import io.banyantally.internal.authority.ProcessIdentity;
import io.banyantally.internal.authority.RendezvousRanking;
import io.banyantally.internal.authority.Scope;
import io.banyantally.internal.authority.ScopeOwner;
import io.banyantally.internal.invariant.Invariants;
import io.banyantally.internal.orders.OrderEnvironment;
import io.banyantally.internal.orders.OrderSettings;
import io.banyantally.internal.orders.OrderTask;
import io.banyantally.internal.orders.ScopeTargets;
import io.banyantally.internal.orders.UpstreamChangeListener;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.time.Sleeper;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.Incarnation;
import io.banyantally.model.ModelName;
import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import io.banyantally.model.VmId;
import io.banyantally.platform.InMemoryKeyValueStore;
import io.banyantally.upstream.EngineRole;
import io.banyantally.upstream.EngineTarget;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.LongAdder;

/** VMs in one process that share a key-value service in memory and own scopes with engines. */
final class MeasuredSite implements AutoCloseable {

    private static final AvailabilityZone ZONE = new AvailabilityZone("north");
    private static final int TIMELINE_CAPACITY = 16;

    final LongAdder reads = new LongAdder();
    final LongAdder writes = new LongAdder();
    final InMemoryKeyValueStore store = new InMemoryKeyValueStore(MonotonicClock.SYSTEM);
    private final Map<Scope, Map<UpstreamId, MeasuredEngine>> engines = new LinkedHashMap<>();
    private final List<MeasuredVm> vms = new ArrayList<>();
    private final List<Peer> livePeers = new CopyOnWriteArrayList<>();
    private final List<Thread> threads = new ArrayList<>();
    private volatile EngineRole wanted = EngineRole.PREFILL;

    MeasuredSite(int vmCount, int scopeCount, int enginesOfScope) {
        for (int scope = 0; scope < scopeCount; scope++) {
            Map<UpstreamId, MeasuredEngine> ofScope = new HashMap<>();
            for (int engine = 0; engine < enginesOfScope; engine++) {
                ofScope.put(
                        new UpstreamId("engine-" + scope + "-" + engine), new MeasuredEngine(target(EngineRole.MIXED)));
            }
            engines.put(new Scope("service-" + scope + "@north"), ofScope);
        }
        for (int vm = 0; vm < vmCount; vm++) {
            VmId id = new VmId("vm-" + vm);
            livePeers.add(new Peer(id, Incarnation.draw(), ZONE));
            vms.add(new MeasuredVm(id, new CountedStore(store, reads, writes), new LinkedHashMap<>()));
        }
    }

    /** Starts the owners of all scopes on all VMs. */
    void start() {
        for (MeasuredVm vm : vms) {
            Incarnation incarnation = Incarnation.draw();
            Timeline timeline = new Timeline(vm.id(), incarnation, TIMELINE_CAPACITY, event -> {});
            Invariants invariants = new Invariants(new MetricRegistry(), timeline);
            RendezvousRanking ranking = new RendezvousRanking(vm.id(), () -> peersOf(vm.id()));
            for (Scope scope : engines.keySet()) {
                ScopeOwner owner = new ScopeOwner(
                        scope,
                        task(scope, timeline, invariants),
                        vm.store(),
                        ranking,
                        new ProcessIdentity(vm.id(), incarnation),
                        AuthorityEnvironment.system(AuthoritySettings.DEFAULT, timeline));
                vm.owners().put(scope, owner);
                threads.add(owner.start());
            }
        }
    }

    private OrderTask task(Scope scope, Timeline timeline, Invariants invariants) {
        Map<UpstreamId, MeasuredEngine> ofScope = engines.get(scope);
        OrderSettings given = OrderSettings.DEFAULT;
        OrderSettings allAtOnce = new OrderSettings(
                given.reconcileInterval(),
                given.readInterval(),
                given.verifyInterval(),
                given.retryDelay(),
                given.maximumEffectDelay(),
                Math.max(1, ofScope.size()));
        return new OrderTask(
                new ServiceName(scope.name().replace('@', '.')),
                ZONE,
                asked -> Optional.of(targets(ofScope)),
                id -> Optional.ofNullable(ofScope.get(id)),
                new NoOrdering(),
                new ReadyAtOnce(),
                new OrderEnvironment(allAtOnce, MonotonicClock.SYSTEM, Sleeper.SYSTEM, timeline, invariants));
    }

    private ScopeTargets targets(Map<UpstreamId, MeasuredEngine> ofScope) {
        Map<UpstreamId, EngineTarget> targets = new HashMap<>();
        EngineTarget target = target(wanted);
        ofScope.keySet().forEach(id -> targets.put(id, target));
        return new ScopeTargets(targets, 0, 0);
    }

    /** Changes the target of every engine. */
    void want(EngineRole role) {
        wanted = role;
    }

    boolean isSettled() {
        return engines.values().stream()
                .flatMap(ofScope -> ofScope.values().stream())
                .allMatch(engine -> engine.target().role() == wanted);
    }

    /** Returns the VM that owns most scopes. */
    MeasuredVm busiest() {
        return vms.stream()
                .max((one, other) ->
                        Integer.compare(one.owned().size(), other.owned().size()))
                .orElseThrow();
    }

    /** Cuts a VM off as if it was killed; its peers notice when {@link #forget} is called. */
    void kill(MeasuredVm vm) {
        vm.store().cut();
    }

    void forget(MeasuredVm vm) {
        livePeers.removeIf(peer -> peer.vm().equals(vm.id()));
    }

    /** Returns any engine of a scope. */
    MeasuredEngine engine(Scope scope) {
        return engines.get(scope).values().iterator().next();
    }

    private List<Peer> peersOf(VmId self) {
        return livePeers.stream().filter(peer -> !peer.vm().equals(self)).toList();
    }

    private static EngineTarget target(EngineRole role) {
        return new EngineTarget(new ModelName("base"), "1", List.of(), role);
    }

    @Override
    public void close() {
        vms.forEach(vm -> vm.owners().values().forEach(ScopeOwner::requestRelease));
        threads.forEach(Thread::interrupt);
    }

    /** A VM with its owners by scope. */
    record MeasuredVm(VmId id, CountedStore store, Map<Scope, ScopeOwner> owners) {

        List<Scope> owned() {
            return owners.entrySet().stream()
                    .filter(entry -> entry.getValue().isOwner())
                    .map(Map.Entry::getKey)
                    .toList();
        }
    }

    private static final class ReadyAtOnce implements UpstreamChangeListener {

        @Override
        public boolean prepareChange(UpstreamId engine, EngineTarget target) {
            return true;
        }

        @Override
        public boolean prepareGiveBack(UpstreamId upstream) {
            return true;
        }

        @Override
        public void changeFinished(UpstreamId upstream) {}
    }
}
