package io.banyantally.internal.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.UpstreamId;
import io.banyantally.upstream.EngineRole;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class PlannersTest {
    private static final long SECOND = 1_000_000_000L;
    private static final AvailabilityZone NORTH = new AvailabilityZone("quito-n");
    private static final AvailabilityZone SOUTH = new AvailabilityZone("quito-s");
    private static final AvailabilityZone AMBATO = new AvailabilityZone("ambato");
    private static final List<AvailabilityZone> ZONES = List.of(NORTH, SOUTH, AMBATO);
    private static final EngineRates RATES = new EngineRates(20_000, 2_300, 9_000, 1_500);
    private static final FleetRules RULES = new FleetRules(3, 12, 1.0, 0.4, Duration.ofSeconds(60), 20);

    private final ZoneHistory history = new ZoneHistory();
    private final FleetPlanner fleet = new FleetPlanner(RULES, history);
    private final RolePlanner roles = new RolePlanner(RATES, Duration.ofSeconds(9));

    private static FleetUpstream upstream(int number, AvailabilityZone zone, boolean cheap, boolean leaving) {
        return new FleetUpstream(
                new UpstreamId("engine-" + number),
                zone,
                EngineRole.MIXED,
                cheap,
                true,
                leaving,
                false,
                cheap ? 0.4 : 1.0);
    }

    private static List<FleetUpstream> regular(int count) {
        List<FleetUpstream> upstreams = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            upstreams.add(upstream(number, ZONES.get(number % 3), false, false));
        }
        return upstreams;
    }

    private static FleetUpstream withRole(FleetUpstream upstream, RoleChange change) {
        return !upstream.id().equals(change.upstream())
                ? upstream
                : new FleetUpstream(upstream.id(), upstream.zone(), change.role(), false, true, false, false, 1.0);
    }

    /** Guards against role changes that follow each swing and lose more engine seconds than they save. */
    @Test
    void aShortSwingDoesNotChangeRoles() {
        int changes = 0;
        List<FleetUpstream> upstreams = regular(6);
        for (int second = 0; second < 300; second++) {
            boolean prefillHeavy = second % 20 < 10;
            Demand demand = new Demand(prefillHeavy ? 35_000 : 3_000, prefillHeavy ? 2_500 : 6_000, 0);
            for (RoleChange change : roles.plan(second * SECOND, demand, upstreams)) {
                changes++;
                upstreams.replaceAll(upstream -> withRole(upstream, change));
            }
        }
        assertEquals(0, changes, "six mixed engines carry the average, though not each peak");
    }

    /** Guards against a hysteresis so strong that roles never follow a lasting shift. */
    @Test
    void aLastingShiftChangesARole() {
        List<RoleChange> changes = new ArrayList<>();
        for (int second = 0; second < 120 && changes.isEmpty(); second++) {
            changes.addAll(roles.plan(second * SECOND, new Demand(70_000, 3_000, 0.8), regular(6)));
        }
        assertEquals(1, changes.size());
        assertEquals(EngineRole.PREFILL, changes.getFirst().role());
    }

    /** Guards against a fleet that one reclaim of a zone takes below the demand. */
    @Test
    void cheapUpstreamsAreSpreadSoThatTheLossOfAZoneKeepsTheService() {
        double needed = 4;
        List<FleetUpstream> upstreams = new ArrayList<>();
        for (int round = 0; round < 30; round++) {
            for (FleetOrder order : fleet.plan(round * SECOND, needed, upstreams, ZONES)) {
                FleetOrder.OrderOne one = assertInstanceOf(FleetOrder.OrderOne.class, order);
                upstreams.add(upstream(upstreams.size(), one.zone(), one.cheap(), false));
            }
        }
        assertTrue(upstreams.stream().anyMatch(FleetUpstream::cheap), "cheap upstreams are used");
        for (AvailabilityZone zone : ZONES) {
            long left = upstreams.stream()
                    .filter(upstream -> !(upstream.cheap() && upstream.zone().equals(zone)))
                    .count();
            assertTrue(left >= needed, "without cheap upstreams in " + zone + " there are " + left);
        }
    }

    /** Guards against ordering again from the zone that has just reclaimed everything. */
    @Test
    void aZoneThatReclaimsOftenIsUsedLast() {
        history.addReclaims(NORTH, 4);
        FleetOrder.OrderOne order = assertInstanceOf(
                FleetOrder.OrderOne.class,
                fleet.plan(SECOND, 2, regular(2), ZONES).getFirst());
        assertFalse(order.cheap() && order.zone().equals(NORTH));
    }

    /** Guards against streams that are cut when the notice of a reclaim runs out. */
    @Test
    void workIsMovedOffReclaimedUpstreams() {
        List<FleetUpstream> upstreams = regular(5);
        upstreams.add(upstream(5, AMBATO, true, true));
        assertTrue(
                fleet.plan(SECOND, 3, upstreams, ZONES).contains(new FleetOrder.MoveWork(new UpstreamId("engine-5"))));
    }

    /** Guards against paying for upstreams that nobody needs, and against giving back too many. */
    @Test
    void surplusIsGivenBackOneAtATimeAndTheDearestFirst() {
        List<FleetUpstream> upstreams = regular(5);
        upstreams.add(upstream(5, AMBATO, true, false));
        List<FleetOrder> orders = fleet.plan(SECOND, 1, upstreams, ZONES);
        assertEquals(1, orders.size());
        FleetOrder.GiveBack back = assertInstanceOf(FleetOrder.GiveBack.class, orders.getFirst());
        assertFalse(back.upstream().equals(new UpstreamId("engine-5")));
    }
}
