package io.banyantally.internal.wiring;

import io.banyantally.internal.peer.TcpPeerNetwork;
import io.banyantally.internal.settings.EntrySettings;
import io.banyantally.internal.settings.PeerSeed;
import io.banyantally.model.VmId;
import io.banyantally.platform.DirectoryEntry;
import io.banyantally.platform.VmKind;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Tells the peer network which entry VMs to connect to: those of the platform's list, and the seeds of the settings. */
@Singleton
final class KnownPeers {

    private final TcpPeerNetwork network;
    private final Map<VmId, InetSocketAddress> seeds = new HashMap<>();

    @Inject
    KnownPeers(TcpPeerNetwork network, EntrySettings settings) {
        this.network = network;
        for (PeerSeed seed : settings.seeds()) {
            seeds.put(seed.vm(), seed.address());
        }
    }

    void useSeeds() {
        network.setKnownPeers(seeds);
    }

    void update(List<DirectoryEntry> entries) {
        Map<VmId, InetSocketAddress> known = new HashMap<>(seeds);
        entries.stream()
                .filter(entry -> entry.kind() == VmKind.ENTRY)
                .forEach(entry -> known.put(new VmId(entry.id()), entry.address()));
        network.setKnownPeers(known);
    }
}
