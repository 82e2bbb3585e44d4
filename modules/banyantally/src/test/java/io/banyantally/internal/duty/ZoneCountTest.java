package io.banyantally.internal.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.ScalingRule;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.testing.Deployments;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Plays loads of a service in three zones, of which each may have twenty upstreams. */
final class ZoneCountTest {

    private static final ScalingRule RULE = rule(20);
    private static final Duration ROUND = FleetReconciler.INTERVAL;

    private final ZoneCount zoneCount = new ZoneCount();
    private long now;

    /** Guards against paying for a whole fleet at a load that a part of it serves. */
    @Test
    void smallLoadReleasesUpstreamsSlowly() {
        assertEquals(20, playFor(Duration.ofSeconds(1), 60, 6));
        int after = playFor(Duration.ofSeconds(20), 60, 6);
        assertTrue(after > ZoneCount.MINIMUM_IN_ZONE && after < 20, "after 20 s: " + after);
        assertEquals(ZoneCount.MINIMUM_IN_ZONE, playFor(Duration.ofMinutes(3), 60, 6));
    }

    /** Guards against a fleet that is too small for the next peak, or that can't serve a peak without one zone. */
    @Test
    void peakIsServedWithoutOneZoneAtOnceAndForSomeTime() {
        playFor(Duration.ofMinutes(3), 24, 4);

        int atPeak = playFor(ROUND, 24, 15);
        // Fifteen busy prefill engines are half of a fleet of thirty, which has to remain after the loss of a zone.
        assertEquals(15, atPeak);
        assertTrue(playFor(Duration.ofSeconds(10), 24, 4) >= 13, "ten seconds later");
    }

    /** Guards against a fleet that stays small while callers are refused. */
    @Test
    void refusalsOrderTheMaximum() {
        playFor(Duration.ofMinutes(3), 24, 4);

        assertEquals(20, zoneCount.next(engines(24), RULE, engine -> 0, true, now));
    }

    /** Guards against orders that follow each other for one upstream more or less. */
    @Test
    void countDoesNotFollowSmallChanges() {
        int last = playFor(Duration.ofMinutes(3), 40, 12);
        int changes = 0;
        for (int round = 0; round < 150; round++) {
            int count = playFor(ROUND, 40, round % 2 == 0 ? 12 : 11);
            changes += count == last ? 0 : 1;
            last = count;
        }

        assertTrue(changes <= 1, "changes in a minute: " + changes);
    }

    /** Guards against a small deployment that gives upstreams back which it needs after a crash. */
    @Test
    void smallFleetRunsWhole() {
        assertEquals(4, zoneCount.next(engines(12), rule(4), engine -> 0, false, now));
    }

    /** Returns the count after a time in which so many prompts are at the prefill engines. */
    private int playFor(Duration time, int engines, int prompts) {
        int count = 0;
        for (Duration elapsed = Duration.ZERO; elapsed.compareTo(time) < 0; elapsed = elapsed.plus(ROUND)) {
            List<ReplicaEntry> running = engines(engines);
            ReplicaEntry first = running.getFirst();
            count = zoneCount.next(running, RULE, engine -> engine.equals(first) ? prompts : 0, false, now);
            now += ROUND.toNanos();
        }
        return count;
    }

    private static List<ReplicaEntry> engines(int count) {
        return IntStream.range(0, count)
                .mapToObj(index -> Deployments.engine(
                        "engine-" + index,
                        "zone-" + index % 3,
                        index % 2 == 0 ? EngineStage.PREFILL : EngineStage.DECODE))
                .toList();
    }

    private static ScalingRule rule(int maximum) {
        return new ScalingRule(
                1,
                maximum,
                Duration.ofSeconds(4),
                Optional.of(0.15),
                Map.of(
                        new AvailabilityZone("zone-0"), 1.0,
                        new AvailabilityZone("zone-1"), 0.8,
                        new AvailabilityZone("zone-2"), 1.2));
    }
}
