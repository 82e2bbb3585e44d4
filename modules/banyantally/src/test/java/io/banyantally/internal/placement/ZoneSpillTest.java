package io.banyantally.internal.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ServiceName;
import io.banyantally.model.SoftwareVersion;
import io.banyantally.model.UpstreamId;
import io.banyantally.testing.ManualClock;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;

/** Checks single decisions on leaving the zone, without load. */
final class ZoneSpillTest {

    private static final ServiceName PLAIN = new ServiceName("plain");
    private static final AvailabilityZone OWN = new AvailabilityZone("zone-a");
    private static final AvailabilityZone OTHER = new AvailabilityZone("zone-b");
    private static final Placement.Demand DEMAND = new Placement.Demand(Optional.empty(), Duration.ofMillis(150));
    private static final int DECISIONS = 200;

    private final ManualClock clock = new ManualClock();
    private final UpstreamTracks tracks = new UpstreamTracks(clock);
    private final MetricRegistry metrics = new MetricRegistry();
    private final ReplicaEntry near = upstream("near", OWN);
    private final ReplicaEntry far = upstream("far", OTHER);

    /** Guards against a preference for the own zone in a deployment that has not set a price. */
    @Test
    void withoutAPriceBothZonesAreUsed() {
        assertEquals(Set.of(near.id(), far.id()), chosen(0, List.of(near, far)));
    }

    /** Guards against a VM without any messages that leaves its zone while it has a free slot. */
    @Test
    void withAPriceAStartingVmUsesItsZone() {
        assertEquals(Set.of(near.id()), chosen(1, List.of(near, far)));
        assertEquals(DECISIONS, metrics.counter("zones.plain.kept").getCount());
    }

    /** Guards against a request without an upstream because its zone has none. */
    @Test
    void zoneWithoutUpstreamsSendsAll() {
        assertEquals(Set.of(far.id()), chosen(1, List.of(far)));
        assertEquals(DECISIONS, metrics.counter("zones.plain.left_no_upstream").getCount());
    }

    /** Guards against requests that stay at an ejected upstream of their zone, as it seems to be idle. */
    @Test
    void zoneOfAnEjectedUpstreamSendsAll() {
        tracks.of(near).eject(clock.nanoTime());

        assertEquals(Set.of(far.id()), chosen(1, List.of(near, far)));
    }

    /** Guards against traffic that costs more than the wait that it saves. */
    @Test
    void dearWayIsNotTakenForAShortWait() {
        for (int request = 0; request < 2 * near.slots(); request++) {
            tracks.of(near).recordSent(1, clock.nanoTime());
        }

        assertTrue(chosen(1, List.of(near, far)).contains(far.id()));
        // 2 kB at this price are worth 200 ms, and the wait is about one service time.
        assertEquals(Set.of(near.id()), chosen(100_000, List.of(near, far)));
    }

    /** Guards against a share that stays up after a shortage, or that follows one request. */
    @Test
    void shareFollowsAShortageAndItsEndWithinSeconds() {
        ZoneSpill spill = new ZoneSpill(new ZoneCost(OWN, 1), clock, metrics);
        spill.probability(PLAIN, 1);
        clock.advance(Duration.ofMillis(10));
        assertTrue(spill.probability(PLAIN, 1) < 0.4);
        play(spill, 1, Duration.ofSeconds(4));
        assertTrue(spill.share(PLAIN) > 0.9);
        play(spill, -1, Duration.ofSeconds(3));
        assertEquals(0, spill.probability(PLAIN, -1));
        play(spill, -1, Duration.ofSeconds(3));
        assertEquals(0, spill.share(PLAIN), ZoneSpill.MINIMUM_SHARE);
    }

    /** Guards against a price that makes all costs equal or invalid. */
    @Test
    void invalidPricesAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> new ZoneCost(OWN, -1));
        assertThrows(IllegalArgumentException.class, () -> new ZoneCost(OWN, Double.NaN));
        assertThrows(IllegalArgumentException.class, () -> new ZoneCost(OWN, Double.POSITIVE_INFINITY));
    }

    private void play(ZoneSpill spill, double gain, Duration duration) {
        for (int millis = 0; millis < duration.toMillis(); millis += 10) {
            clock.advance(Duration.ofMillis(10));
            spill.probability(PLAIN, gain);
        }
    }

    private Set<UpstreamId> chosen(double price, List<ReplicaEntry> upstreams) {
        RandomGenerator random = new SplittableRandom(1);
        ZoneSpill spill = new ZoneSpill(new ZoneCost(OWN, price), clock, metrics);
        PlainPlacement placement = new PlainPlacement(
                new UpstreamNotices(clock, new SplittableRandom(1), new MetricRegistry()),
                new UpstreamLimits(
                        () -> new LimitSharers(1, 1, Duration.ZERO), clock, new Random(1), new MetricRegistry()),
                tracks,
                new LeastLoadedPlacement(() -> random, spill),
                clock);
        Set<UpstreamId> chosen = new HashSet<>();
        for (int decision = 0; decision < DECISIONS; decision++) {
            if (placement.take(DEMAND, upstreams, upstream -> true) instanceof Placement.Decision.Send send) {
                chosen.add(send.candidate().entry().id());
            }
        }
        return chosen;
    }

    private static ReplicaEntry upstream(String id, AvailabilityZone zone) {
        return new ReplicaEntry(
                new UpstreamId(id),
                PLAIN,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                zone,
                6,
                false,
                EngineStage.NONE,
                false,
                OptionalLong.empty(),
                OptionalLong.empty(),
                new SoftwareVersion("v1"));
    }
}
