package io.banyantally.internal.membership;

import io.banyantally.internal.configuration.ReaderChoice;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.VmId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Chooses the entry VMs that a VM connects to. A small site is fully connected. In a large one the number of
 * connections is bounded: the readers of a zone connect to the readers of all zones, and every VM connects to the
 * readers of its own zone and to VMs of its own and of the other zones, selected by rendezvous hashing. The same list
 * gives the same result.
 */
public final class PeerChoice {

    /** Up to this number of entry VMs, each VM connects to all others. */
    public static final int FULL_MESH_LIMIT = 32;

    /**
     * The two readers of the own zone and the two VMs that would replace them, so that losing a reader leaves no gap.
     */
    static final int OWN_ZONE_READERS = 2 * ReaderChoice.READERS_IN_A_ZONE;

    /**
     * VMs of the own zone besides these four; if 30% of the VMs fail at random, all ten fail with probability 0.3^10.
     */
    static final int OWN_ZONE_PEERS = 6;

    /** VMs of other zones, distributed evenly and at least one per zone, for usage replicas and callers' addresses. */
    static final int OTHER_ZONE_PEERS = 8;

    private PeerChoice() {}

    /**
     * Returns the VMs to connect to.
     *
     * <p>Only readers connect to the readers of other zones. If every VM did, each reader of a fleet of 3,300 VMs would
     * answer 6,600 heartbeats a second, far above the 26 KB/s that a node may spend on control traffic.
     */
    public static Set<VmId> choose(EntryVm self, Collection<EntryVm> known) {
        Set<EntryVm> all = new HashSet<>(known);
        all.add(self);
        Set<VmId> chosen = new HashSet<>();
        if (all.size() <= FULL_MESH_LIMIT) {
            all.forEach(vm -> chosen.add(vm.vm()));
        } else {
            addForPartialMesh(chosen, self, all);
        }
        chosen.remove(self.vm());
        return chosen;
    }

    private static void addForPartialMesh(Set<VmId> chosen, EntryVm self, Set<EntryVm> all) {
        Map<AvailabilityZone, List<VmId>> zones = all.stream()
                .collect(Collectors.groupingBy(
                        EntryVm::zone, TreeMap::new, Collectors.mapping(EntryVm::vm, Collectors.toList())));
        List<VmId> ownZoneVms = zones.remove(self.zone());
        List<VmId> ownReaders = ReaderChoice.ranked(self.zone(), ownZoneVms, OWN_ZONE_READERS);
        chosen.addAll(ownReaders);
        chosen.addAll(drawByHash(self.vm(), ownZoneVms, OWN_ZONE_PEERS));
        int peersPerZone = zones.isEmpty() ? 0 : Math.max(1, Math.ceilDiv(OTHER_ZONE_PEERS, zones.size()));
        boolean isReader =
                ownReaders.indexOf(self.vm()) >= 0 && ownReaders.indexOf(self.vm()) < ReaderChoice.READERS_IN_A_ZONE;
        zones.forEach((zone, vms) -> {
            chosen.addAll(drawByHash(self.vm(), vms, peersPerZone));
            if (isReader) {
                chosen.addAll(ReaderChoice.ranked(zone, vms, ReaderChoice.READERS_IN_A_ZONE));
            }
        });
    }

    private static List<VmId> drawByHash(VmId self, List<VmId> vms, int count) {
        Map<Long, VmId> byWeight = new TreeMap<>();
        for (VmId vm : vms) {
            if (!vm.equals(self)) {
                byWeight.put(weight(self, vm), vm);
            }
        }
        return new ArrayList<>(byWeight.values()).subList(0, Math.min(count, byWeight.size()));
    }

    /** Returns the pseudo-random weight of an ordered pair of VMs, which is the same in every process. */
    static long weight(VmId self, VmId other) {
        long seed = ((long) self.value().hashCode() << Integer.SIZE)
                ^ (other.value().hashCode() & 0xFFFF_FFFFL);
        return new SplittableRandom(seed).nextLong();
    }
}
