package io.banyantally.internal.membership;

import io.banyantally.model.VmId;
import io.banyantally.platform.DirectoryEntry;
import io.banyantally.platform.VmKind;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** Sets the peers to which the network connects: those that {@link PeerChoice} selects from the platform's list. */
public final class PeerSelection {

    private final EntryVm self;
    private final Map<VmId, InetSocketAddress> seeds;
    private final Consumer<Map<VmId, InetSocketAddress>> peerConsumer;

    /**
     * Creates a selection that connects to no peer yet.
     *
     * @param seeds peers from the settings, used before the platform's list is known, and in a small site also with it
     * @param peerConsumer receives the complete set of peers to connect to, with their addresses
     */
    public PeerSelection(
            EntryVm self, Map<VmId, InetSocketAddress> seeds, Consumer<Map<VmId, InetSocketAddress>> peerConsumer) {
        this.self = self;
        this.seeds = Map.copyOf(seeds);
        this.peerConsumer = peerConsumer;
    }

    /** Connects to the seeds; called once before the platform's list is known. */
    public void useSeeds() {
        peerConsumer.accept(seeds);
    }

    /** Replaces the peers by those selected from the platform's list. */
    public void update(List<DirectoryEntry> entries) {
        Map<VmId, InetSocketAddress> addresses = new HashMap<>();
        List<EntryVm> vms = entries.stream()
                .filter(entry -> entry.kind() == VmKind.ENTRY)
                .peek(entry -> addresses.put(new VmId(entry.id()), entry.address()))
                .map(entry -> new EntryVm(new VmId(entry.id()), entry.zone()))
                .toList();
        Set<VmId> chosen = PeerChoice.choose(self, vms);
        if (vms.size() > PeerChoice.FULL_MESH_LIMIT) {
            addresses.keySet().retainAll(chosen);
        } else {
            seeds.forEach(addresses::putIfAbsent);
        }
        addresses.remove(self.vm());
        peerConsumer.accept(addresses);
    }
}
