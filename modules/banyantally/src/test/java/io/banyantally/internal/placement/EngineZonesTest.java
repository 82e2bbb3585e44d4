package io.banyantally.internal.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.PromptMetadata;
import io.banyantally.deployment.PromptPart;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.testing.Deployments;
import io.banyantally.testing.ManualClock;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Checks what the cost of traffic between zones changes in the choice of engines. */
final class EngineZonesTest {

    private static final AvailabilityZone ZONE_A = new AvailabilityZone("zone-a");
    private static final AvailabilityZone ZONE_B = new AvailabilityZone("zone-b");
    private static final long CACHE_TOKEN_BYTES = 163_840;
    private static final int SESSIONS = 200;

    private final ManualClock clock = new ManualClock();
    private final UpstreamTracks tracks = new UpstreamTracks(clock);
    private final MetricRegistry metrics = new MetricRegistry();
    private final ReplicaEntry inZone = Deployments.engine("a", "zone-a", EngineStage.DECODE);
    private final ReplicaEntry elsewhere = Deployments.engine("b", "zone-b", EngineStage.DECODE);

    /** Guards against a change where no price is set or the size of the cache is unknown: a fixed penalty applies. */
    @Test
    void withoutPriceOrSizeTheFixedPenaltyApplies() {
        occupy(inZone, 2);
        assertEquals(inZone, decode(0, CACHE_TOKEN_BYTES));
        assertEquals(inZone, decode(10, 0));
        occupy(inZone, 6);
        assertEquals(elsewhere, decode(0, CACHE_TOKEN_BYTES));
        assertEquals(elsewhere, decode(10, 0));
    }

    /** Guards against a price that does not change which engine gets the KV cache of 1.5 GB. */
    @Test
    void dearWayKeepsTheCacheInItsZoneAndACheapOneDoesNot() {
        occupy(inZone, 8);

        assertEquals(inZone, decode(10, CACHE_TOKEN_BYTES));
        assertEquals(elsewhere, decode(0.01, CACHE_TOKEN_BYTES));
        assertEquals(1, metrics.counter("zones.decode.kept").getCount());
        assertEquals(1, metrics.counter("zones.decode.left_shorter").getCount());
    }

    /** Guards against a late answer for the sake of the price, which has to stay behind the latency target. */
    @Test
    void cacheLeavesAZoneWhoseEnginesWouldStartLate() {
        occupy(inZone, 40);
        tracks.of(inZone).recordSlotTime(4000);

        assertEquals(elsewhere, decode(1000, CACHE_TOKEN_BYTES));
        assertEquals(1, metrics.counter("zones.decode.left_no_upstream").getCount());
    }

    /** Guards against a session that is cached once in each zone, as the VMs there disagree on its home. */
    @Test
    void vmsOfAllZonesAgreeOnTheHomeOfASession() {
        List<Candidate> engines = tracks.candidates(IntStream.range(0, 6)
                .mapToObj(number ->
                        Deployments.engine("p" + number, number % 2 == 0 ? "zone-a" : "zone-b", EngineStage.PREFILL))
                .toList());
        EnginePlacement placementA = placement(ZONE_A, 10);
        EnginePlacement placementB = placement(ZONE_B, 10);
        for (int session = 0; session < SESSIONS; session++) {
            Placement.Demand demand = demand(session);
            assertEquals(
                    engine(placementA.decidePrefill(demand, engines)),
                    engine(placementB.decidePrefill(demand, engines)));
        }
        long left = metrics.counter("zones.prefill.left_home").getCount();
        long kept = metrics.counter("zones.prefill.kept").getCount();
        assertEquals(SESSIONS, left);
        assertEquals(SESSIONS, kept);
    }

    private ReplicaEntry decode(double price, long cacheTokenBytes) {
        return engine(placement(ZONE_A, price)
                .decideDecode(
                        demand(0),
                        tracks.candidates(List.of(inZone, elsewhere)),
                        Optional.of(ZONE_A),
                        cacheTokenBytes));
    }

    private EnginePlacement placement(AvailabilityZone zone, double price) {
        return new EnginePlacement(
                new SplittableRandom(1),
                new EngineRates(MonotonicClock.SYSTEM, new MetricRegistry()),
                new EngineZones(new ZoneCost(zone, price), metrics));
    }

    private static ReplicaEntry engine(Placement.Decision decision) {
        return assertInstanceOf(Placement.Decision.Send.class, decision)
                .candidate()
                .entry();
    }

    private static Placement.Demand demand(int session) {
        PromptMetadata prompt = new PromptMetadata(
                9190, 2, List.of(new PromptPart("session-" + session, 6300), new PromptPart("own", 2890)));
        return new Placement.Demand(Optional.of(prompt), Duration.ofMillis(215));
    }

    private void occupy(ReplicaEntry engine, int requests) {
        for (int request = 0; request < requests; request++) {
            tracks.of(engine).recordSent(0, clock.nanoTime());
        }
    }
}
