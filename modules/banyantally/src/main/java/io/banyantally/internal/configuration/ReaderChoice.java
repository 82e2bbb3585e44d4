package io.banyantally.internal.configuration;

import io.banyantally.internal.peer.Peer;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.VmId;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.Set;
import java.util.stream.Collectors;

/** Chooses the VMs of a zone that watch the manifest, by rendezvous hashing, so that most stay when VMs come and go. */
final class ReaderChoice {

    /** Two, so that the loss of one leaves the zone its proofs. */
    static final int READERS_IN_A_ZONE = 2;

    private ReaderChoice() {}

    /** Returns the readers of a zone among the live VMs. */
    static Set<VmId> readers(AvailabilityZone zone, Collection<Peer> live) {
        return live.stream()
                .filter(peer -> peer.zone().equals(zone))
                .map(Peer::vm)
                .sorted(Comparator.comparingLong((VmId vm) -> weight(zone, vm)).thenComparing(vm -> vm))
                .limit(READERS_IN_A_ZONE)
                .collect(Collectors.toUnmodifiableSet());
    }

    private static long weight(AvailabilityZone zone, VmId vm) {
        return ByteBuffer.wrap(Sha256.of((zone + "/" + vm).getBytes(StandardCharsets.UTF_8)))
                .getLong();
    }
}
