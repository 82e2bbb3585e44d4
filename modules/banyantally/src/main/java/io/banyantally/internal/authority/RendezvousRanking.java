package io.banyantally.internal.authority;

import io.banyantally.internal.peer.Peer;
import io.banyantally.model.VmId;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collection;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/**
 * Ranks VMs for each scope by rendezvous hashing over the live peers, so that scopes are spread over the VMs and the
 * loss of a VM moves only its own scopes. VMs that see different sets of peers may rank differently; the lease then
 * decides.
 */
public final class RendezvousRanking implements CandidateRanking {

    private final VmId self;
    private final Supplier<? extends Collection<Peer>> livePeers;
    private final Map<String, Long> hashes = new ConcurrentHashMap<>();

    /** Creates a ranking; {@code livePeers} supplies the peers that currently respond, without this VM. */
    public RendezvousRanking(VmId self, Supplier<? extends Collection<Peer>> livePeers) {
        this.self = self;
        this.livePeers = livePeers;
    }

    @Override
    public int rank(Scope scope) {
        long scopeHash = hash(scope.name());
        long own = weight(scopeHash, self);
        int rank = 0;
        for (Peer peer : livePeers.get()) {
            long weight = weight(scopeHash, peer.vm());
            if (weight > own || (weight == own && peer.vm().compareTo(self) < 0)) {
                rank++;
            }
        }
        return rank;
    }

    private long weight(long scopeHash, VmId vm) {
        return new SplittableRandom(scopeHash ^ hash(vm.value())).nextLong();
    }

    /** Caches the digest of each name, so that computing the weight of a pair takes only a few nanoseconds. */
    private long hash(String name) {
        return hashes.computeIfAbsent(name, RendezvousRanking::digest);
    }

    private static long digest(String name) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(name.getBytes(StandardCharsets.UTF_8));
            return ByteBuffer.wrap(digest).getLong();
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException("every Java platform has SHA-256", impossible);
        }
    }
}
