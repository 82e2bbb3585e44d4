package io.banyantally.internal.fleet;

import io.banyantally.internal.authority.AuthorityLostException;
import io.banyantally.internal.authority.ScopePayloads;
import io.banyantally.internal.authority.TestOwnedScope;
import io.banyantally.internal.configuration.Configuration;
import io.banyantally.internal.configuration.ServiceKind;
import io.banyantally.internal.configuration.ServiceTemplate;
import io.banyantally.internal.orders.ScopeTargets;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.Incarnation;
import io.banyantally.model.ModelName;
import io.banyantally.model.Revision;
import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import io.banyantally.model.VmId;
import io.banyantally.platform.InMemoryKeyValueStore;
import io.banyantally.platform.KeyValueStore;
import io.banyantally.testing.FaultyKeyValueStore;
import io.banyantally.testing.ManualClock;
import io.banyantally.testing.StoreFault;
import io.banyantally.testing.StoreOperation;
import io.banyantally.upstream.EngineRole;
import io.banyantally.upstream.EngineTarget;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/** Simulates one service in three zones: a plan owner, an owner in each zone, and varying demand. */
final class PlanSimulation {

    static final ServiceName SERVICE = new ServiceName("chat");
    static final List<AvailabilityZone> ZONES =
            List.of(new AvailabilityZone("a"), new AvailabilityZone("b"), new AvailabilityZone("c"));
    private static final EngineTarget MIXED = new EngineTarget(new ModelName("m"), "1", List.of(), EngineRole.MIXED);

    final ManualClock clock = new ManualClock();
    final Random random;
    final KeyValueStore shared = new InMemoryKeyValueStore(clock);
    final FaultyKeyValueStore planStore = new FaultyKeyValueStore(shared);
    final FaultyKeyValueStore zoneStore = new FaultyKeyValueStore(shared);
    final List<String> violations = new ArrayList<>();
    final FleetPlanTask task;
    final Map<AvailabilityZone, ZoneTargets> owners = new HashMap<>();
    private final Map<AvailabilityZone, Long> followed = new HashMap<>();
    private final Map<Long, Map<AvailabilityZone, ScopeTargets>> contents = new HashMap<>();
    private final Map<UpstreamId, FleetMember> members = new HashMap<>();
    TestOwnedScope owner;
    private FleetPlan plan;
    private FleetPlanBuilder maker;
    private double prompt = 1;
    StoreFault nextPlanFault = StoreFault.NONE;
    boolean platformDown;

    PlanSimulation(long seed) {
        random = new Random(seed);
        for (int number = 0; number < 9; number++) {
            UpstreamId id = new UpstreamId("e" + number);
            members.put(
                    id,
                    new FleetMember(
                            new FleetUpstream(
                                    id, ZONES.get(number % 3), EngineRole.MIXED, false, true, false, false, 1),
                            Optional.of(MIXED)));
        }
        planStore.setPlan(
                (operation, key, after) -> platformDown ? StoreFault.UNAVAILABLE : takeFault(operation, after));
        zoneStore.setPlan((operation, key, after) -> platformDown ? StoreFault.UNAVAILABLE : StoreFault.NONE);
        ServiceTemplate template = new ServiceTemplate(
                SERVICE, ServiceKind.MODEL, List.of(new ModelName("m")), List.of(), List.of(), 3, 30, 0);
        Configuration configuration =
                new Configuration(new Revision(1), Map.of(SERVICE, template), Map.of(), Map.of(), Set.of());
        FleetSettings settings = new FleetSettings(
                new EngineRates(9_000, 1_500, 8_000, 1_200), Duration.ofSeconds(3), 1, 0.4, Duration.ofSeconds(60), 20);
        task = new FleetPlanTask(
                SERVICE,
                () -> configuration,
                service -> Optional.of(new Demand(prompt, 2_000, 0.5)),
                service -> Optional.of(List.copyOf(members.values())),
                () -> new TreeSet<>(ZONES),
                settings,
                clock,
                duration -> {});
        replacePlanOwner();
        ZONES.forEach(this::replaceZoneOwner);
    }

    private StoreFault takeFault(StoreOperation operation, boolean after) {
        if (after || operation != StoreOperation.COMPARE_AND_SWAP) {
            return StoreFault.NONE;
        }
        StoreFault fault = nextPlanFault;
        nextPlanFault = StoreFault.NONE;
        return fault;
    }

    /** Makes another VM the owner without telling the former one. */
    void replacePlanOwner() {
        Optional<TestOwnedScope> next = TestOwnedScope.takeOver(
                FleetScopes.planOf(SERVICE), planStore, new VmId("vm"), new Incarnation(random.nextLong()));
        next.ifPresent(this::startOwnership);
    }

    private void startOwnership(TestOwnedScope next) {
        try {
            FleetPlan read = FleetPlanTask.readPlan(next);
            owner = next;
            plan = read;
            maker = new FleetPlanBuilder(new FleetSettings(
                    new EngineRates(9_000, 1_500, 8_000, 1_200),
                    Duration.ofSeconds(3),
                    1,
                    0.4,
                    Duration.ofSeconds(60),
                    20));
        } catch (AuthorityLostException unreadable) {
            violations.add("a plan cannot be decoded: " + unreadable.getMessage());
        }
    }

    void replaceZoneOwner(AvailabilityZone zone) {
        owners.put(zone, new ZoneTargets(SERVICE, zone, new ScopePayloads(zoneStore), clock));
    }

    void changeDemand() {
        prompt = random.nextInt(120_000);
    }

    /** Plans once as the current owner. */
    void planOnce() throws InterruptedException {
        planAs(owner);
    }

    void planAs(TestOwnedScope scope) throws InterruptedException {
        if (!scope.isGranted()) {
            return;
        }
        try {
            FleetPlan next = task.planOnce(scope, plan, maker);
            if (scope.equals(owner)) {
                plan = next;
            } else if (next.number() != plan.number()) {
                violations.add("a stale owner wrote plan " + next.number());
            }
        } catch (AuthorityLostException lost) {
            scope.abandon(lost.getMessage());
        }
    }

    void zonesFollow() {
        ZONES.forEach(this::follow);
    }

    void follow(AvailabilityZone zone) {
        ZoneTargets source = owners.get(zone);
        Optional<ScopeTargets> targets = source.targets(FleetScopes.ordersOf(SERVICE, zone));
        if (targets.isEmpty()) {
            return;
        }
        long number = source.planNumber();
        if (number < followed.getOrDefault(zone, 0L)) {
            violations.add("zone " + zone + " followed plan " + number + " after " + followed.get(zone));
        }
        followed.put(zone, number);
        ScopeTargets known =
                contents.computeIfAbsent(number, none -> new HashMap<>()).putIfAbsent(zone, targets.get());
        if (known != null && !known.equals(targets.get())) {
            violations.add("plan " + number + " has two contents in " + zone);
        }
    }

    long highestFollowed() {
        return followed.values().stream().mapToLong(number -> number).max().orElse(0);
    }
}
