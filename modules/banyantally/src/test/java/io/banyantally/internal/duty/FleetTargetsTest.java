package io.banyantally.internal.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.deployment.ScalingRule;
import io.banyantally.internal.duty.FleetTargets.FleetTarget;
import io.banyantally.model.AvailabilityZone;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class FleetTargetsTest {

    private static final AvailabilityZone EXPENSIVE_ZONE = new AvailabilityZone("zone-dear");
    private static final AvailabilityZone CHEAP_ZONE = new AvailabilityZone("zone-cheap");
    private static final ScalingRule SCALING_RULE = new ScalingRule(
            1, 4, Duration.ofSeconds(4), Optional.of(0.15), Map.of(EXPENSIVE_ZONE, 1.25, CHEAP_ZONE, 0.8));

    /**
     * Guards against losing the whole fleet to a reclaim in all zones, and against paying for more than prevents it.
     */
    @Test
    void oneRegularUpstreamRunsInTheCheapestZone() {
        List<FleetTarget> targets = FleetTargets.of(SCALING_RULE, Set.of());

        assertEquals(
                List.of(
                        new FleetTarget(CHEAP_ZONE, true, 3),
                        new FleetTarget(CHEAP_ZONE, false, 1),
                        new FleetTarget(EXPENSIVE_ZONE, true, 4),
                        new FleetTarget(EXPENSIVE_ZONE, false, 0)),
                targets);
    }

    /** Guards against replacements that fill a zone, so that no reclaimable upstream can be ordered there again. */
    @Test
    void replacementsLeaveRoomForAReclaimableUpstream() {
        int replacements = FleetTargets.of(SCALING_RULE, Set.of(EXPENSIVE_ZONE)).stream()
                .filter(target -> target.zone().equals(EXPENSIVE_ZONE) && !target.cheap())
                .mapToInt(FleetTarget::count)
                .sum();

        assertTrue(replacements > 0 && replacements < SCALING_RULE.maximum(), "replacements: " + replacements);
    }

    /** Guards against an empty fleet where the platform has no reclaimable upstreams. */
    @Test
    void withoutReclaimableUpstreamsRegularOnesFillTheZones() {
        ScalingRule rule = new ScalingRule(1, 4, Duration.ofSeconds(4), Optional.empty(), Map.of(EXPENSIVE_ZONE, 1.0));

        assertEquals(
                List.of(new FleetTarget(EXPENSIVE_ZONE, true, 0), new FleetTarget(EXPENSIVE_ZONE, false, 4)),
                FleetTargets.of(rule, Set.of()));
    }
}
