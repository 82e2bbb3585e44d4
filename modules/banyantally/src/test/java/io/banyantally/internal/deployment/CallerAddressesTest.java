package io.banyantally.internal.deployment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.VmId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays look-ups of callers at fleets larger than an answer. */
final class CallerAddressesTest {

    private static final int ZONES = 5;
    private static final int MAXIMUM = 64;
    private static final int ANSWERS = 10_000;

    /** A ready VM must get a new connection within this time, the shortest stability bound of a deployment. */
    private static final Duration NAMED_WITHIN = Duration.ofSeconds(3);

    /** Guards against VMs that no caller is named, although one zone has no callers. */
    @Test
    void callersOfFourOfFiveZonesAreSpreadOverAllVms() {
        Map<VmId, Integer> named = new HashMap<>();
        Random random = new Random(1);
        for (int answer = 0; answer < ANSWERS; answer++) {
            CallerAddresses.choose(fleet(95), zone(random.nextInt(ZONES - 1)), MAXIMUM, Duration.ofMillis(answer))
                    .forEach(member -> named.merge(member.vm(), 1, Integer::sum));
        }

        double mean = ANSWERS * MAXIMUM / 95.0;
        assertEquals(95, named.size());
        named.forEach((vm, count) -> assertTrue(count > mean / 2 && count < mean * 2, vm + " named " + count));
    }

    /** Guards against VMs that get no new connection for longer than the stability bound. */
    @ParameterizedTest
    @ValueSource(ints = {95, 300, 3300})
    void everyVmIsNamedWithinTheStabilityBound(int vms) {
        List<MemberEntry> fleet = fleet(vms);
        Map<VmId, Integer> named = new HashMap<>();
        for (int second = 0; second * 1000L < NAMED_WITHIN.toMillis() * 20; second++) {
            for (int zone = 0; zone < ZONES; zone++) {
                CallerAddresses.choose(fleet, zone(zone), MAXIMUM, Duration.ofMillis(second * 50L))
                        .forEach(member -> named.merge(member.vm(), 1, Integer::sum));
            }
        }

        assertEquals(vms, named.size());
    }

    /** Guards against connections that callers drop because each answer names other VMs. */
    @Test
    void answersForAZoneStayTheSameWhileTheFleetDoes() {
        List<MemberEntry> first = CallerAddresses.choose(fleet(95), zone(2), MAXIMUM, Duration.ZERO);

        assertEquals(first, CallerAddresses.choose(fleet(95), zone(2), MAXIMUM, Duration.ofSeconds(40)));
    }

    /** Guards against leaving out VMs of a fleet that fits into an answer. */
    @Test
    void smallFleetIsNamedWhole() {
        assertEquals(
                9,
                CallerAddresses.choose(fleet(9), zone(0), MAXIMUM, Duration.ZERO)
                        .size());
    }

    private static List<MemberEntry> fleet(int vms) {
        List<MemberEntry> members = new ArrayList<>();
        for (int index = 0; index < vms; index++) {
            members.add(new MemberEntry(
                    new VmId("vm-" + index), new AvailabilityZone(zone(index % ZONES)), "10.0.0.1:1", "10.0.0.1:2"));
        }
        return members;
    }

    private static String zone(int index) {
        return "zone-" + index;
    }
}
