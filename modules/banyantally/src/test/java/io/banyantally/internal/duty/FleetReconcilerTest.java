package io.banyantally.internal.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.deployment.CallerLimits;
import io.banyantally.deployment.DeploymentConfiguration;
import io.banyantally.deployment.DocumentReader;
import io.banyantally.deployment.EngineRule;
import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.ScalingRule;
import io.banyantally.deployment.ServiceRule;
import io.banyantally.internal.deployment.ActiveConfiguration;
import io.banyantally.internal.deployment.ReplicaRegistry;
import io.banyantally.internal.deployment.StoreHealth;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.FencingNumber;
import io.banyantally.model.SoftwareVersion;
import io.banyantally.model.UpstreamId;
import io.banyantally.model.VmId;
import io.banyantally.platform.CoordinationStore.StoreItem;
import io.banyantally.platform.CoordinationStore.StoreListing;
import io.banyantally.platform.DutyHolder;
import io.banyantally.platform.StageOrderOutcome;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.VersionedValue;
import io.banyantally.testing.Deployments;
import io.banyantally.testing.ManualClock;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Simulates the reclaim of all reclaimable upstreams of a zone while the platform has no others available. */
final class FleetReconcilerTest {

    private static final AvailabilityZone EXPENSIVE_ZONE = new AvailabilityZone("zone-dear");
    private static final AvailabilityZone CHEAP_ZONE = new AvailabilityZone("zone-low");
    private static final DutyHolder HOLDER = new DutyHolder(new VmId("vm-1"), new FencingNumber(4), () -> true);
    private static final ScalingRule SCALING_RULE = new ScalingRule(
            1, 4, Duration.ofSeconds(4), Optional.of(0.15), Map.of(EXPENSIVE_ZONE, 1.2, CHEAP_ZONE, 0.8));

    private final ManualClock clock = new ManualClock();
    private final ReplicaRegistry registry =
            new ReplicaRegistry(new ReplicasByIdReader(), new StoreHealth(clock), clock);
    private final List<String> orders = new ArrayList<>();
    private final List<String> changing = new ArrayList<>();
    private final ActiveConfiguration configuration = new ActiveConfiguration(new DeploymentConfiguration(
            1,
            List.of(),
            List.of(new ServiceRule(Deployments.ENGINES, 100, Optional.empty(), Optional.of(SCALING_RULE))),
            new CallerLimits(8192, 65536, Duration.ofSeconds(3), Duration.ofSeconds(15)),
            List.of()));
    private double refusedShare;
    private boolean soldOut;
    private final FleetReconciler reconciler = new FleetReconciler(
            registry,
            (holder, service, zone, cheap, count) -> {
                orders.add(zone + (cheap ? " cheap " : " regular ") + count);
                return !cheap || !soldOut;
            },
            () -> refusedShare,
            upstream -> 0,
            clock);

    /** Guards against refusing callers until reclaimable upstreams are available again. */
    @Test
    void regularUpstreamsReplaceReclaimedOnesWithinASecondOfTheFirstRefusals() throws InterruptedException {
        setRunning(3, 1, 4, 0);
        runFor(Duration.ofSeconds(1));
        assertEquals(List.of(), orders, "the fleet is complete");

        soldOut = true;
        refusedShare = 0.1;
        setRunning(3, 1, 0, 0);
        runFor(Duration.ofSeconds(1));

        assertEquals(List.of("zone-dear cheap 4", "zone-dear regular 3"), orders);
    }

    /** Guards against ordering regular upstreams, which cost more, while the remaining ones serve all requests. */
    @Test
    void nothingReplacesReclaimedUpstreamsWhileNothingIsRefused() throws InterruptedException {
        soldOut = true;
        setRunning(3, 1, 0, 0);
        runFor(Duration.ofSeconds(3));

        assertEquals(List.of("zone-dear cheap 4"), orders);
    }

    /** Guards against paying for regular replacements after the reclaimable upstreams have returned. */
    @Test
    void regularUpstreamsAreGivenBackWhenReclaimableOnesServeAgain() throws InterruptedException {
        soldOut = true;
        refusedShare = 0.1;
        setRunning(3, 1, 0, 0);
        runFor(Duration.ofSeconds(1));
        soldOut = false;
        refusedShare = 0;
        setRunning(3, 1, 0, 3);
        runFor(Duration.ofSeconds(10));
        setRunning(3, 1, 4, 3);
        orders.clear();
        runFor(Duration.ofSeconds(10));

        assertTrue(orders.contains("zone-dear regular 0"), orders.toString());
    }

    /** Guards against an engine that changes its stage, for seconds, while the platform is about to take it back. */
    @Test
    void engineThatIsGivenBackGetsNoStageOrder() throws InterruptedException {
        List<String> stageOrders = new ArrayList<>();
        StageReconciler stages = new StageReconciler(
                registry,
                reconciler,
                (holder, engine, stage) -> accept(stageOrders, engine, stage),
                (engine, time) -> changing.add(engine.id() + " " + time.toSeconds()),
                clock);
        setRunning(2, 1, 4, 2);

        stages.run(HOLDER, engineConfiguration());

        assertEquals(List.of("dear-cheap-3 DECODE"), stageOrders);
        assertEquals(List.of("dear-cheap-3 3"), changing, "other VMs are not told that the engine refuses requests");
    }

    /** Guards against one stage only while regular engines run because there are no others. */
    @Test
    void engineWithoutASubstituteGetsItsStageOrder() throws InterruptedException {
        List<String> stageOrders = new ArrayList<>();
        StageReconciler stages = new StageReconciler(
                registry,
                reconciler,
                (holder, engine, stage) -> accept(stageOrders, engine, stage),
                (engine, time) -> changing.add(engine.id() + " " + time.toSeconds()),
                clock);
        setRunning(0, 0, 0, 2);

        stages.run(HOLDER, engineConfiguration());

        assertEquals(List.of("dear-regular-1 DECODE"), stageOrders);
    }

    private static StageOrderOutcome accept(List<String> orders, ReplicaEntry engine, EngineStage stage) {
        orders.add(engine.id() + " " + stage);
        return StageOrderOutcome.ACCEPTED;
    }

    private static ActiveConfiguration engineConfiguration() {
        return new ActiveConfiguration(new DeploymentConfiguration(
                1,
                List.of(),
                List.of(new ServiceRule(
                        Deployments.ENGINES,
                        100,
                        Optional.of(new EngineRule(16, 783_000, Duration.ofSeconds(3))),
                        Optional.of(SCALING_RULE))),
                new CallerLimits(8192, 65536, Duration.ofSeconds(3), Duration.ofSeconds(15)),
                List.of()));
    }

    private void runFor(Duration time) throws InterruptedException {
        for (Duration elapsed = Duration.ZERO;
                elapsed.compareTo(time) < 0;
                elapsed = elapsed.plus(FleetReconciler.INTERVAL)) {
            reconciler.run(HOLDER, configuration);
            clock.advance(FleetReconciler.INTERVAL);
        }
    }

    /** Replaces the listed upstreams by these numbers of each kind. */
    private void setRunning(
            int cheapZoneCheap, int cheapZoneRegular, int expensiveZoneCheap, int expensiveZoneRegular) {
        List<StoreItem> items = Stream.of(
                        items("low-cheap", cheapZoneCheap),
                        items("low-regular", cheapZoneRegular),
                        items("dear-cheap", expensiveZoneCheap),
                        items("dear-regular", expensiveZoneRegular))
                .flatMap(List::stream)
                .toList();
        registry.listed(new StoreListing(items, new StoreRevision(1)));
    }

    private static List<StoreItem> items(String kind, int count) {
        return IntStream.range(0, count)
                .mapToObj(index -> new StoreItem(
                        new StoreKey("upstreams/" + kind + "-" + index),
                        new VersionedValue((kind + "-" + index).getBytes(StandardCharsets.UTF_8), new StoreRevision(1)),
                        new StoreRevision(1)))
                .toList();
    }

    /** Derives the zone and the kind of an upstream from its id. */
    private static final class ReplicasByIdReader implements DocumentReader {

        @Override
        public DeploymentConfiguration configuration(byte[] document) {
            throw new UnsupportedOperationException("upstreams only");
        }

        @Override
        public ReplicaEntry replica(StoreKey key, byte[] document) {
            String id = new String(document, StandardCharsets.UTF_8);
            return new ReplicaEntry(
                    new UpstreamId(id),
                    Deployments.ENGINES,
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                    id.startsWith("low") ? CHEAP_ZONE : EXPENSIVE_ZONE,
                    16,
                    false,
                    EngineStage.PREFILL,
                    id.contains("cheap"),
                    OptionalLong.empty(),
                    OptionalLong.empty(),
                    new SoftwareVersion("v1"));
        }
    }
}
