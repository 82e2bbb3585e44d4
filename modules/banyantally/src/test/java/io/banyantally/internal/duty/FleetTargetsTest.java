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

    private static final AvailabilityZone DEAR = new AvailabilityZone("zone-dear");
    private static final AvailabilityZone CHEAP = new AvailabilityZone("zone-cheap");
    private static final ScalingRule RULE =
            new ScalingRule(1, 4, Duration.ofSeconds(4), Optional.of(0.15), Map.of(DEAR, 1.25, CHEAP, 0.8));

    /** Guards against a fleet that a reclaim of all zones takes away whole, and against paying for more than that. */
    @Test
    void oneUpstreamThatCannotBeReclaimedStaysInTheCheapestZone() {
        List<FleetTarget> targets = FleetTargets.of(RULE, Set.of());

        assertEquals(
                List.of(
                        new FleetTarget(CHEAP, true, 3),
                        new FleetTarget(CHEAP, false, 1),
                        new FleetTarget(DEAR, true, 4),
                        new FleetTarget(DEAR, false, 0)),
                targets);
    }

    /** Guards against replacements that fill a zone, so that no reclaimable upstream ever returns to it. */
    @Test
    void replacementsLeaveAPlaceForAReclaimableUpstream() {
        int replacements = FleetTargets.of(RULE, Set.of(DEAR)).stream()
                .filter(target -> target.zone().equals(DEAR) && !target.cheap())
                .mapToInt(FleetTarget::count)
                .sum();

        assertTrue(replacements > 0 && replacements < RULE.maximum(), "replacements: " + replacements);
    }

    /** Guards against an empty fleet where the platform has no reclaimable upstreams. */
    @Test
    void withoutReclaimableUpstreamsTheOthersFillTheZones() {
        ScalingRule rule = new ScalingRule(1, 4, Duration.ofSeconds(4), Optional.empty(), Map.of(DEAR, 1.0));

        assertEquals(
                List.of(new FleetTarget(DEAR, true, 0), new FleetTarget(DEAR, false, 4)),
                FleetTargets.of(rule, Set.of()));
    }
}
