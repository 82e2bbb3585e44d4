package io.banyantally.internal.orders;

import io.banyantally.internal.authority.Scope;
import io.banyantally.internal.authority.ScopeTask;
import io.banyantally.internal.invariant.Promise;
import io.banyantally.internal.peer.Peer;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.Incarnation;
import io.banyantally.model.ModelName;
import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import io.banyantally.model.VmId;
import io.banyantally.platform.InMemoryKeyValueStore;
import io.banyantally.upstream.EngineRole;
import io.banyantally.upstream.EngineTarget;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Three VMs that are candidates for one scope with two engines, whose targets change while faults are injected. */
final class SimulatedSite {

    static final Scope SCOPE = new Scope("advisor@north");
    static final AvailabilityZone ZONE = new AvailabilityZone("north");
    static final ServiceName SERVICE = new ServiceName("advisor");
    static final Duration FAULTS_UNTIL = Duration.ofSeconds(45);
    private static final Duration MAXIMUM_PROCESSING_TIME = Duration.ofMillis(2_900);
    static final Duration MAXIMUM_DELIVERY_DELAY = Duration.ofMillis(1_900);
    private static final Duration RUN_TIME = Duration.ofSeconds(105);
    private static final Duration TARGET_PERIOD = Duration.ofSeconds(8);

    final Simulation simulation;
    final InMemoryKeyValueStore store;
    final SiteCheck check;
    final SimulatedOrdering ordering;
    final List<SimulatedVm> vms = new ArrayList<>();
    private final List<SimulatedVm> allProcesses = new ArrayList<>();
    private final Map<UpstreamId, SimulatedEngine> engines = new LinkedHashMap<>();
    private final FaultSchedule faultSchedule;
    private boolean delayNextOrder;
    private long platformDownUntil;
    private long platformSlowUntil;

    SimulatedSite(long seed, boolean honoursTokens, boolean honoursFencing, FaultSchedule faultSchedule) {
        simulation = new Simulation(seed);
        store = new InMemoryKeyValueStore(simulation.clock);
        check = new SiteCheck(this);
        ordering = new SimulatedOrdering(this, honoursTokens, honoursFencing);
        this.faultSchedule = faultSchedule;
        for (String name : List.of("e-1", "e-2")) {
            UpstreamId id = new UpstreamId(name);
            engines.put(id, new SimulatedEngine(this, id, target(EngineRole.MIXED), honoursFencing));
        }
    }

    /** Runs the whole schedule, then checks that the last targets were reached and no invariant was violated. */
    SimulatedSite run() {
        for (String name : List.of("vm-1", "vm-2", "vm-3")) {
            start(new VmId(name));
        }
        simulation.run(RUN_TIME);
        ScopeTargets last = targets(0);
        engines.values().stream()
                .filter(engine -> !engine.target().equals(last.engines().get(engine.id)))
                .forEach(engine -> check.fail(Promise.NO_CONFLICTING_ORDERS, engine.id + " did not reach its target"));
        for (boolean cheap : new boolean[] {false, true}) {
            if (ordering.count(cheap) != last.upstreams(cheap)) {
                check.fail(
                        Promise.SINGLE_UPSTREAM_ORDERER,
                        "at the end " + ordering.count(cheap) + " upstreams exist, which is not the target");
            }
        }
        for (SimulatedVm vm : allProcesses) {
            for (Promise promise : Promise.values()) {
                if (vm.invariants.violations(promise) > 0) {
                    check.fail(promise, "assertion violated on " + vm.id);
                }
            }
            vm.kill();
        }
        simulation.finish();
        return this;
    }

    void start(VmId id) {
        SimulatedVm vm = new SimulatedVm(this, id);
        vms.add(vm);
        allProcesses.add(vm);
        vm.owner.start();
    }

    /** Kills a VM's process and restarts it under a new incarnation after {@code downTime}. */
    void kill(SimulatedVm vm, Duration downTime) {
        if (vms.remove(vm)) {
            vm.kill();
            simulation.schedule(downTime, () -> start(vm.id));
        }
    }

    void injectFault(SimulatedVm vm, Step step) {
        if (simulation.now() < FAULTS_UNTIL.toNanos()) {
            faultSchedule.onStep(this, vm, step);
        }
    }

    void platformDown(Duration duration) {
        platformDownUntil = simulation.now() + duration.toNanos();
    }

    void platformSlow(Duration duration) {
        platformSlowUntil = simulation.now() + duration.toNanos();
    }

    boolean platformIsDown() {
        return simulation.now() < platformDownUntil;
    }

    boolean platformIsSlow() {
        return simulation.now() < platformSlowUntil;
    }

    /** Returns the time from receiving an order to its effect; in about a quarter of the cases up to the maximum. */
    Duration processingTime() {
        boolean longest = delayNextOrder;
        delayNextOrder = false;
        return longest
                ? MAXIMUM_PROCESSING_TIME
                : simulation.randomDuration(
                        simulation.random.nextInt(4) == 0 ? MAXIMUM_PROCESSING_TIME : Duration.ofMillis(5));
    }

    /** Returns how long a cut delays an order; one that arrives after the read timeout is ignored. */
    Duration deliveryDelay() {
        return delayNextOrder ? MAXIMUM_DELIVERY_DELAY : simulation.randomDuration(Duration.ofSeconds(8));
    }

    /** Delays the next order by the maximum that the receiver's read timeout and the longest processing time allow. */
    void delayNextOrder() {
        delayNextOrder = true;
    }

    void crashEngines() {
        engines.values().forEach(SimulatedEngine::crash);
    }

    List<Peer> peersOf(SimulatedVm vm) {
        return vms.stream()
                .filter(other -> other != vm)
                .map(other -> new Peer(other.id, new Incarnation(0), ZONE))
                .toList();
    }

    ScopeTask task(SimulatedVm vm, OrderEnvironment environment) {
        Duration viewLag = simulation.randomDuration(Duration.ofSeconds(3));
        UpstreamChangeListener listener = new UpstreamChangeListener() {
            @Override
            public boolean prepareChange(UpstreamId engine, EngineTarget target) {
                return !engines.get(engine).prepared.add(vm);
            }

            @Override
            public boolean prepareGiveBack(UpstreamId upstream) {
                return true;
            }

            @Override
            public void changeFinished(UpstreamId upstream) {
                Optional.ofNullable(engines.get(upstream)).ifPresent(engine -> engine.prepared.remove(vm));
            }
        };
        return new OrderTask(
                SERVICE,
                ZONE,
                scope -> Optional.of(targets(viewLag.toNanos())),
                id -> Optional.ofNullable(engines.get(id)).map(engine -> engine.clientOf(vm)),
                ordering.clientOf(vm),
                listener,
                environment);
    }

    /** The targets alternate until the faults end; each VM sees a change after its own {@code viewLag}. */
    private ScopeTargets targets(long viewLag) {
        long visibleTime = Math.max(0, Math.min(simulation.now() - viewLag, FAULTS_UNTIL.toNanos()));
        boolean even = visibleTime / TARGET_PERIOD.toNanos() % 2 == 0;
        EngineTarget target = target(even ? EngineRole.PREFILL : EngineRole.DECODE);
        Map<UpstreamId, EngineTarget> engineTargets = new LinkedHashMap<>();
        engines.keySet().forEach(id -> engineTargets.put(id, target));
        return new ScopeTargets(engineTargets, 1, even ? 1 : 2);
    }

    static int highestTarget(boolean cheap) {
        return cheap ? 1 : 2;
    }

    private static EngineTarget target(EngineRole role) {
        return new EngineTarget(new ModelName("base"), "1", List.of(), role);
    }

    /** Called at each step of each process; may inject a fault. */
    @FunctionalInterface
    interface FaultSchedule {

        void onStep(SimulatedSite site, SimulatedVm vm, Step step);
    }
}
