package io.banyantally.internal.configuration;

import io.banyantally.internal.peer.Peer;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.VmId;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Selects the VMs of a zone that watch the manifest. Rendezvous hashing keeps most of them when VMs join or leave. */
public final class ReaderChoice {

    /** Two, so that the zone still obtains proofs after the loss of one reader. */
    public static final int READERS_IN_A_ZONE = 2;

    private ReaderChoice() {}

    /** Returns the readers of a zone, selected from the live VMs. */
    public static Set<VmId> readers(AvailabilityZone zone, Collection<Peer> live) {
        List<VmId> vms = live.stream()
                .filter(peer -> peer.zone().equals(zone))
                .map(Peer::vm)
                .toList();
        return Set.copyOf(ranked(zone, vms, READERS_IN_A_ZONE));
    }

    /** Returns the first {@code count} of a zone's VMs, in the order in which they are selected as readers. */
    public static List<VmId> ranked(AvailabilityZone zone, Collection<VmId> vms, int count) {
        Map<VmId, Long> weights = new HashMap<>();
        vms.forEach(vm -> weights.put(vm, weight(zone, vm)));
        return weights.entrySet().stream()
                .sorted(Map.Entry.<VmId, Long>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                .limit(count)
                .map(Map.Entry::getKey)
                .toList();
    }

    private static long weight(AvailabilityZone zone, VmId vm) {
        return ByteBuffer.wrap(Sha256.of((zone + "/" + vm).getBytes(StandardCharsets.UTF_8)))
                .getLong();
    }
}
