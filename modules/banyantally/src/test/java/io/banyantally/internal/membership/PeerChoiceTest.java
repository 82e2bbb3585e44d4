package io.banyantally.internal.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.configuration.ReaderChoice;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.VmId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a fleet whose connections do not reach every VM, and VMs that connect to too many others. */
final class PeerChoiceTest {

    private static List<EntryVm> fleet(int vms, int zones) {
        List<EntryVm> fleet = new ArrayList<>();
        for (int number = 0; number < vms; number++) {
            fleet.add(new EntryVm(new VmId("vm-" + number), new AvailabilityZone("zone-" + number % zones)));
        }
        return fleet;
    }

    private static Map<VmId, Set<VmId>> connections(List<EntryVm> fleet) {
        Map<VmId, Set<VmId>> connections = new HashMap<>();
        fleet.forEach(vm -> connections.put(vm.vm(), PeerChoice.choose(vm, fleet)));
        return connections;
    }

    @Test
    void connectsAllVmsOfASmallSite() {
        connections(fleet(32, 3)).values().forEach(peers -> assertEquals(31, peers.size()));
    }

    @Test
    void doesNotDependOnTheOrderOfTheList() {
        List<EntryVm> fleet = fleet(400, 5);
        List<EntryVm> shuffled = new ArrayList<>(fleet);
        Collections.shuffle(shuffled, new Random(1));
        assertEquals(PeerChoice.choose(fleet.get(7), fleet), PeerChoice.choose(fleet.get(7), shuffled));
    }

    /** Guards against a reader or other VM that must keep connections to the whole fleet. */
    @ParameterizedTest
    @CsvSource({"33, 3", "400, 5"})
    void boundsTheConnectionsThatAVmOpens(int vms, int zones) {
        int readers = ReaderChoice.READERS_IN_A_ZONE * zones;
        int bound = PeerChoice.OWN_ZONE_READERS
                + PeerChoice.OWN_ZONE_PEERS
                + Math.max(PeerChoice.OTHER_ZONE_PEERS + zones, zones);
        connections(fleet(vms, zones)).values().forEach(peers -> assertTrue(peers.size() <= bound + readers));
    }

    @ParameterizedTest
    @CsvSource({"33, 3", "400, 5"})
    void reachesEveryOtherZone(int vms, int zones) {
        List<EntryVm> fleet = fleet(vms, zones);
        Map<VmId, AvailabilityZone> zoneOf = new HashMap<>();
        fleet.forEach(vm -> zoneOf.put(vm.vm(), vm.zone()));
        connections(fleet).values().forEach(peers -> {
            Set<AvailabilityZone> reached = new HashSet<>();
            peers.forEach(peer -> reached.add(zoneOf.get(peer)));
            assertEquals(zones, reached.size());
        });
    }

    /** Guards against partitions after 30% of the VMs and all readers of one zone are killed. */
    @ParameterizedTest
    @CsvSource({"33, 3, 300", "100, 4, 200", "400, 5, 30"})
    void staysConnectedWhileVmsAreKilled(int vms, int zones, int trials) {
        List<EntryVm> fleet = fleet(vms, zones);
        Map<VmId, Set<VmId>> connections = connections(fleet);
        Random random = new Random(Long.getLong("banyantally.seed", 1));
        for (int trial = 0; trial < trials; trial++) {
            List<VmId> alive = new ArrayList<>(connections.keySet());
            Collections.sort(alive);
            Collections.shuffle(alive, random);
            Set<VmId> killed = new HashSet<>(alive.subList(0, vms * 3 / 10));
            AvailabilityZone zone = new AvailabilityZone("zone-" + trial % zones);
            List<VmId> inZone = fleet.stream()
                    .filter(vm -> vm.zone().equals(zone))
                    .map(EntryVm::vm)
                    .toList();
            killed.addAll(ReaderChoice.ranked(zone, inZone, ReaderChoice.READERS_IN_A_ZONE));
            assertTrue(isConnected(connections, killed), "the fleet is partitioned in trial " + trial);
        }
    }

    /** The fleet size of section 1.7 of the design. Run once, since selecting the peers of 3,300 VMs takes seconds. */
    @Test
    void reachesAllZonesAndStaysConnectedAtTheDesignSize() {
        reachesEveryOtherZone(3_300, 20);
        staysConnectedWhileVmsAreKilled(3_300, 20, 2);
    }

    private static boolean isConnected(Map<VmId, Set<VmId>> connections, Set<VmId> killed) {
        Map<VmId, Set<VmId>> reverse = new HashMap<>();
        connections.forEach((vm, peers) -> peers.forEach(
                peer -> reverse.computeIfAbsent(peer, none -> new HashSet<>()).add(vm)));
        VmId start = connections.keySet().stream()
                .filter(vm -> !killed.contains(vm))
                .findFirst()
                .orElseThrow();
        int alive = connections.size() - killed.size();
        return countReachable(connections, start, killed) == alive && countReachable(reverse, start, killed) == alive;
    }

    private static int countReachable(Map<VmId, Set<VmId>> connections, VmId start, Set<VmId> killed) {
        Set<VmId> visited = new HashSet<>(Set.of(start));
        Deque<VmId> queue = new ArrayDeque<>(visited);
        while (!queue.isEmpty()) {
            for (VmId peer : connections.getOrDefault(queue.remove(), Set.of())) {
                if (!killed.contains(peer) && visited.add(peer)) {
                    queue.add(peer);
                }
            }
        }
        return visited.size();
    }
}
