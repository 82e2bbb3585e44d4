package io.banyantally.internal.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.placement.ZoneLoadSimulation.Policy;
import io.banyantally.internal.placement.ZoneLoadSimulation.Result;
import io.banyantally.internal.placement.ZoneLoadSimulation.Setup;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Plays the load of a plain service in several zones, and compares the placement with two that are given. */
final class ZoneLoadTest {

    private static final Duration DURATION = Duration.ofSeconds(10);

    private static final long SEED = Long.getLong("zoneLoad.seed", 1);

    /** Results of runs that several tests look at. */
    private static final Map<Run, Result> PLAYED = new ConcurrentHashMap<>();

    /** Seconds after which the first zone's upstreams are gone, and after which they are back. */
    private static final int GONE_FROM = 2;

    private static final int GONE_UNTIL = 6;

    /** Guards against a placement that serves fewer requests in time than one without regard to, or only by, zones. */
    @ParameterizedTest
    @MethodSource("loadsAndFleets")
    void asManyRequestsAreInTimeAsWithTheBetterOfBoth(Load load, Fleet fleet) {
        Setup setup = load.setup(fleet);
        Result byZone = play(setup, Policy.BY_ZONE);
        Result nearest = play(setup, Policy.ALWAYS_NEAREST);
        Result leastLoaded = play(setup, Policy.ALWAYS_LEAST_LOADED);

        String seen = load + " " + fleet + ": " + byZone + "; nearest " + nearest + "; least loaded " + leastLoaded
                + "; turns " + byZone.turns(0, 0, (int) DURATION.toSeconds()) + "; first zone " + shares(byZone);
        assertTrue(byZone.inTimeShare() >= Math.max(nearest.inTimeShare(), leastLoaded.inTimeShare()) - 0.02, seen);
        assertTrue(byZone.turns(0, 0, (int) DURATION.toSeconds()) <= 1, seen);
        if (load == Load.EVEN) {
            assertTrue(byZone.left * 10 <= leastLoaded.left, seen);
        }
    }

    /** Guards against a zone without upstreams that keeps requests, and one that sends them out after they return. */
    @ParameterizedTest
    @EnumSource
    void upstreamsThatReturnGetTheirZonesRequests(Fleet fleet) {
        Result result = play(Load.RETURNING.setup(fleet), Policy.BY_ZONE);

        assertEquals(1.0, result.leftShare(0, GONE_FROM, GONE_UNTIL));
        assertTrue(result.leftShare(0, GONE_UNTIL + 1, (int) DURATION.toSeconds()) < 0.1, () -> shares(result));
    }

    /** Guards against a zone that is short by a tenth and sends much more than that, or nothing. */
    @ParameterizedTest
    @EnumSource
    void zoneThatIsShortByATenthSendsAboutATenth(Fleet fleet) {
        Result result = play(Load.SHORT_BY_A_TENTH.setup(fleet), Policy.BY_ZONE);

        double share = result.leftShare(0, 2, (int) DURATION.toSeconds());
        assertTrue(share >= 0.06 && share <= 0.2, () -> shares(result));
    }

    private static Result play(Setup setup, Policy policy) {
        return PLAYED.computeIfAbsent(
                new Run(setup, policy), run -> new ZoneLoadSimulation(setup, policy, SEED).run(SEED, DURATION));
    }

    private static String shares(Result result) {
        StringBuilder text = new StringBuilder();
        for (int window = 0; window < DURATION.toSeconds(); window++) {
            text.append(Math.round(result.leftShare(0, window, window + 1) * 100))
                    .append("% ");
        }
        return text.toString();
    }

    static Stream<Arguments> loadsAndFleets() {
        return Stream.of(Load.values())
                .flatMap(load -> Stream.of(Fleet.values()).map(fleet -> Arguments.of(load, fleet)));
    }

    private record Run(Setup setup, Policy policy) {}

    /** The VMs, and the zones that they and the upstreams are in. */
    enum Fleet {
        VMS_6(3, 6),
        VMS_95(3, 95),
        ZONES_20(20, 95);

        private final int zones;
        private final int vms;

        Fleet(int zones, int vms) {
            this.zones = zones;
            this.vms = vms;
        }
    }

    /** The requests of the first zone, and those of each other one, as a part of what its upstreams can serve. */
    enum Load {
        EVEN(0.6, 0.6),
        TWICE_ITS_CAPACITY(2, 0.3),
        SHORT_BY_A_TENTH(1.11, 0.4),
        WITHOUT_UPSTREAMS(0.5, 0.5),
        RETURNING(0.5, 0.5);

        private final double firstZone;
        private final double others;

        Load(double firstZone, double others) {
            this.firstZone = firstZone;
            this.others = others;
        }

        Setup setup(Fleet fleet) {
            double goneFrom = this == WITHOUT_UPSTREAMS ? 0 : this == RETURNING ? GONE_FROM * 1000 : Double.MAX_VALUE;
            double goneUntil = this == RETURNING ? GONE_UNTIL * 1000 : Double.MAX_VALUE;
            return new Setup(fleet.zones, fleet.vms, 2, 6, firstZone, others, goneFrom, goneUntil);
        }
    }
}
