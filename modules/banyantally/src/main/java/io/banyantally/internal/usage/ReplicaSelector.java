package io.banyantally.internal.usage;

import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.VmId;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.zip.CRC32C;

/**
 * Selects the peers that hold copies of this VM's counters, by rendezvous hashing: the VMs spread their copies over all
 * peers, and a VM keeps the same replica as long as that is connected.
 */
final class ReplicaSelector {

    /** How long a peer that did not answer is skipped, so that it delays one flush and not every flush. */
    static final Duration SUSPENSION = Duration.ofSeconds(1);

    private final PeerNetwork peers;
    private final Peer self;
    private final MonotonicClock clock;
    private final ConcurrentMap<VmId, Long> suspendedAt = new ConcurrentHashMap<>();

    ReplicaSelector(PeerNetwork peers, Peer self, MonotonicClock clock) {
        this.peers = peers;
        this.self = self;
        this.clock = clock;
    }

    /** Returns the peers in other zones that are not suspended, preferred first. */
    List<Peer> inOtherZones() {
        return candidates(false);
    }

    /** Returns the peers in the same zone that are not suspended, preferred first. */
    List<Peer> inSameZone() {
        return candidates(true);
    }

    void suspend(Peer peer) {
        suspendedAt.put(peer.vm(), clock.nanoTime());
    }

    private List<Peer> candidates(boolean sameZone) {
        return peers.peers().stream()
                .filter(peer -> peer.zone().equals(self.zone()) == sameZone)
                .filter(peer -> !isSuspended(peer))
                .sorted(Comparator.comparingLong(this::weight).reversed().thenComparing(Peer::vm))
                .toList();
    }

    private boolean isSuspended(Peer peer) {
        Long since = suspendedAt.get(peer.vm());
        if (since == null) {
            return false;
        }
        if (clock.since(since).compareTo(SUSPENSION) < 0) {
            return true;
        }
        suspendedAt.remove(peer.vm(), since);
        return false;
    }

    private long weight(Peer peer) {
        CRC32C hash = new CRC32C();
        hash.update((self.vm() + "\n" + peer.vm()).getBytes(StandardCharsets.UTF_8));
        return hash.getValue();
    }
}
