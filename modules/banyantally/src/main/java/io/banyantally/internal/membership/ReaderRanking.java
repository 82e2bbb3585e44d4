package io.banyantally.internal.membership;

import io.banyantally.internal.authority.CandidateRanking;
import io.banyantally.internal.authority.RendezvousRanking;
import io.banyantally.internal.authority.Scope;
import io.banyantally.internal.configuration.ReaderChoice;
import io.banyantally.internal.peer.Peer;
import io.banyantally.model.AvailabilityZone;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/**
 * Ranks the candidates for the ownership of scopes. In a fleet whose VMs are not all connected, only readers are
 * candidates: they are connected to one another, so they compute the same ranks, and the number of VMs that watch a
 * lease does not grow with the fleet.
 */
public final class ReaderRanking implements CandidateRanking {

    private final Peer self;
    private final Supplier<? extends Collection<Peer>> livePeers;
    private final IntSupplier listedVmCount;
    private final RendezvousRanking candidateRanking;

    /**
     * Creates a ranking.
     *
     * @param livePeers the peers that currently respond, without this VM
     * @param listedVmCount the number of entry VMs in the platform's list
     */
    public ReaderRanking(Peer self, Supplier<? extends Collection<Peer>> livePeers, IntSupplier listedVmCount) {
        this.self = self;
        this.livePeers = livePeers;
        this.listedVmCount = listedVmCount;
        this.candidateRanking = new RendezvousRanking(self.vm(), this::candidates);
    }

    @Override
    public int rank(Scope scope) {
        return isPartialMesh() && !readers().contains(self) ? Integer.MAX_VALUE : candidateRanking.rank(scope);
    }

    private boolean isPartialMesh() {
        return listedVmCount.getAsInt() > PeerChoice.FULL_MESH_LIMIT;
    }

    private Collection<Peer> candidates() {
        if (!isPartialMesh()) {
            return List.copyOf(livePeers.get());
        }
        Set<Peer> candidates = new HashSet<>(readers());
        candidates.remove(self);
        return candidates;
    }

    private Set<Peer> readers() {
        List<Peer> live = new ArrayList<>(livePeers.get());
        live.add(self);
        Set<Peer> readers = new HashSet<>();
        for (AvailabilityZone zone : live.stream().map(Peer::zone).distinct().toList()) {
            ReaderChoice.readers(zone, live)
                    .forEach(vm ->
                            live.stream().filter(peer -> peer.vm().equals(vm)).forEach(readers::add));
        }
        return readers;
    }
}
