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

/** Tells the peer network which entry VMs to connect to: those that {@link PeerChoice} draws from the platform's list. */
public final class PeerSelection {

    private final EntryVm self;
    private final Map<VmId, InetSocketAddress> seeds;
    private final Consumer<Map<VmId, InetSocketAddress>> network;

    /**
     * Creates the selection.
     *
     * @param seeds peers of the settings, used until the platform's list was heard and beside it in a small site
     * @param network takes the peers to connect to
     */
    public PeerSelection(
            EntryVm self, Map<VmId, InetSocketAddress> seeds, Consumer<Map<VmId, InetSocketAddress>> network) {
        this.self = self;
        this.seeds = Map.copyOf(seeds);
        this.network = network;
    }

    /** Connects to the seeds; called once before the platform's list is heard. */
    public void useSeeds() {
        network.accept(seeds);
    }

    /** Connects to the peers drawn from a list of VMs. */
    public void update(List<DirectoryEntry> entries) {
        Map<VmId, InetSocketAddress> addresses = new HashMap<>();
        List<EntryVm> vms = entries.stream()
                .filter(entry -> entry.kind() == VmKind.ENTRY)
                .peek(entry -> addresses.put(new VmId(entry.id()), entry.address()))
                .map(entry -> new EntryVm(new VmId(entry.id()), entry.zone()))
                .toList();
        Set<VmId> chosen = PeerChoice.choose(self, vms);
        if (vms.size() > PeerChoice.FULLY_CONNECTED) {
            addresses.keySet().retainAll(chosen);
        } else {
            seeds.forEach(addresses::putIfAbsent);
        }
        addresses.remove(self.vm());
        network.accept(addresses);
    }
}
