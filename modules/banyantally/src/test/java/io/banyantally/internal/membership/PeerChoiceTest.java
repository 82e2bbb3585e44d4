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

/** Guards against a fleet that falls apart, or a VM that connects to too many others. */
final class PeerChoiceTest {

    private static List<EntryVm> fleet(int vms, int zones) {
        List<EntryVm> fleet = new ArrayList<>();
        for (int number = 0; number < vms; number++) {
            fleet.add(new EntryVm(new VmId("vm-" + number), new AvailabilityZone("zone-" + number % zones)));
        }
        return fleet;
    }

    private static Map<VmId, Set<VmId>> links(List<EntryVm> fleet) {
        Map<VmId, Set<VmId>> links = new HashMap<>();
        fleet.forEach(vm -> links.put(vm.vm(), PeerChoice.choose(vm, fleet)));
        return links;
    }

    @Test
    void connectsAllVmsOfASmallSite() {
        links(fleet(32, 3)).values().forEach(peers -> assertEquals(31, peers.size()));
    }

    @Test
    void doesNotDependOnTheOrderOfTheList() {
        List<EntryVm> fleet = fleet(400, 5);
        List<EntryVm> shuffled = new ArrayList<>(fleet);
        Collections.shuffle(shuffled, new Random(1));
        assertEquals(PeerChoice.choose(fleet.get(7), fleet), PeerChoice.choose(fleet.get(7), shuffled));
    }

    /** Guards against a reader, or any VM, that has to keep connections to the whole fleet. */
    @ParameterizedTest
    @CsvSource({"33, 3", "400, 5"})
    void boundsTheConnectionsThatAVmOpens(int vms, int zones) {
        int readers = ReaderChoice.READERS_IN_A_ZONE * zones;
        int bound = PeerChoice.OWN_READERS + PeerChoice.OWN_ZONE + Math.max(PeerChoice.OTHER_ZONES + zones, zones);
        links(fleet(vms, zones)).values().forEach(peers -> assertTrue(peers.size() <= bound + readers));
    }

    @ParameterizedTest
    @CsvSource({"33, 3", "400, 5"})
    void reachesEveryOtherZone(int vms, int zones) {
        List<EntryVm> fleet = fleet(vms, zones);
        Map<VmId, AvailabilityZone> zoneOf = new HashMap<>();
        fleet.forEach(vm -> zoneOf.put(vm.vm(), vm.zone()));
        links(fleet).values().forEach(peers -> {
            Set<AvailabilityZone> reached = new HashSet<>();
            peers.forEach(peer -> reached.add(zoneOf.get(peer)));
            assertEquals(zones, reached.size());
        });
    }

    /** Guards against islands: after 30% of the VMs and all readers of one zone are killed, every VM reaches every other. */
    @ParameterizedTest
    @CsvSource({"33, 3, 300", "100, 4, 200", "400, 5, 30"})
    void staysConnectedWhileVmsAreKilled(int vms, int zones, int trials) {
        List<EntryVm> fleet = fleet(vms, zones);
        Map<VmId, Set<VmId>> links = links(fleet);
        Random random = new Random(Long.getLong("banyantally.seed", 1));
        for (int trial = 0; trial < trials; trial++) {
            List<VmId> alive = new ArrayList<>(links.keySet());
            Collections.sort(alive);
            Collections.shuffle(alive, random);
            Set<VmId> killed = new HashSet<>(alive.subList(0, vms * 3 / 10));
            AvailabilityZone zone = new AvailabilityZone("zone-" + trial % zones);
            List<VmId> inZone = fleet.stream()
                    .filter(vm -> vm.zone().equals(zone))
                    .map(EntryVm::vm)
                    .toList();
            killed.addAll(ReaderChoice.ranked(zone, inZone, ReaderChoice.READERS_IN_A_ZONE));
            assertTrue(isConnected(links, killed), "an island exists in trial " + trial);
        }
    }

    /** The size of section 1.7 once, for drawing all peers of 3,300 VMs takes seconds. */
    @Test
    void holdsAtTheSizeOfTheDesign() {
        reachesEveryOtherZone(3_300, 20);
        staysConnectedWhileVmsAreKilled(3_300, 20, 2);
    }

    private static boolean isConnected(Map<VmId, Set<VmId>> links, Set<VmId> killed) {
        Map<VmId, Set<VmId>> reverse = new HashMap<>();
        links.forEach((vm, peers) -> peers.forEach(
                peer -> reverse.computeIfAbsent(peer, none -> new HashSet<>()).add(vm)));
        VmId start = links.keySet().stream()
                .filter(vm -> !killed.contains(vm))
                .findFirst()
                .orElseThrow();
        int alive = links.size() - killed.size();
        return reach(links, start, killed) == alive && reach(reverse, start, killed) == alive;
    }

    private static int reach(Map<VmId, Set<VmId>> links, VmId start, Set<VmId> killed) {
        Set<VmId> seen = new HashSet<>(Set.of(start));
        Deque<VmId> open = new ArrayDeque<>(seen);
        while (!open.isEmpty()) {
            for (VmId peer : links.getOrDefault(open.remove(), Set.of())) {
                if (!killed.contains(peer) && seen.add(peer)) {
                    open.add(peer);
                }
            }
        }
        return seen.size();
    }
}
