package io.banyantally.internal.configuration;

import io.banyantally.internal.peer.MessagePackCodec;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.peer.Topic;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.Incarnation;
import io.banyantally.model.Revision;
import io.banyantally.model.VmId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.locks.ReentrantLock;
import org.jboss.logging.Logger;

/**
 * Exchanges configurations and freshness proofs with the other entry VMs. Only buckets that the receiver lacks are
 * transferred.
 */
public final class ConfigurationExchange {

    static final Topic PROOF = new Topic("configuration.proof");
    static final Topic FETCH = new Topic("configuration.fetch");

    /** Long enough for a peer that fetches a changed bucket from this VM before it answers. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(700);

    private static final Logger LOG = Logger.getLogger(ConfigurationExchange.class);
    private static final MessagePackCodec<ProofQuery> PROOF_QUERY = MessagePackCodec.of(ProofQuery.class);
    private static final MessagePackCodec<ProofAnswer> PROOF_ANSWER = MessagePackCodec.of(ProofAnswer.class);
    private static final MessagePackCodec<FetchQuery> FETCH_QUERY = MessagePackCodec.of(FetchQuery.class);
    private static final MessagePackCodec<FetchAnswer> FETCH_ANSWER = MessagePackCodec.of(FetchAnswer.class);

    private final ConfigurationReplica replica;
    private final PeerNetwork network;
    private final MonotonicClock clock;
    private final Executor executor;
    private final ReentrantLock fetchLock = new ReentrantLock();

    /** Creates the exchange and registers its request handlers; {@code executor} runs concurrent requests to peers. */
    public ConfigurationExchange(
            ConfigurationReplica replica, PeerNetwork network, MonotonicClock clock, Executor executor) {
        this.replica = replica;
        this.network = network;
        this.clock = clock;
        this.executor = executor;
        network.handle(PROOF, this::answerProof);
        network.handle(FETCH, (sender, payload) -> answerFetch(payload));
    }

    private byte[] answerProof(Peer sender, byte[] payload) throws PeerException {
        ProofQuery query = PROOF_QUERY.decode(payload);
        if (query.revision() > replica.revision().value()) {
            queryPeer(sender.vm());
        }
        ReplicaState state = replica.state();
        ConfigurationSnapshot snapshot = state.snapshot();
        long revision = snapshot.revision().value();
        long age = replica.platformAge(state).map(Duration::toNanos).orElse(ProofAnswer.NO_PROOF);
        byte[] manifest = revision > query.revision() ? snapshot.manifestBytes() : new byte[0];
        return PROOF_ANSWER.encode(new ProofAnswer(
                replica.incarnation().value(),
                revision,
                age,
                state.voter(),
                replica.hasRecentPlatformProof(state),
                manifest));
    }

    private byte[] answerFetch(byte[] payload) throws PeerException {
        ConfigurationSnapshot snapshot = replica.snapshot();
        List<byte[]> buckets = new ArrayList<>();
        int size = 0;
        for (String hash : FETCH_QUERY.decode(payload).hashes()) {
            Optional<EncodedBucket> held = snapshot.findBucket(hash);
            if (held.isEmpty() || size + held.get().bytes().length > Bucket.MAXIMUM_BYTES) {
                break;
            }
            buckets.add(held.get().bytes());
            size += held.get().bytes().length;
        }
        return FETCH_ANSWER.encode(new FetchAnswer(buckets));
    }

    /**
     * Requests a peer's revision and proof, and applies its configuration if it is newer. The age of the proof is
     * counted from before the request was sent, so that neither network delay nor a pause makes the proof look more
     * recent than it is.
     *
     * @return the peer's status, or empty if the request failed
     */
    Optional<PeerStatus> queryPeer(VmId peer) {
        long requestSentAt = clock.nanoTime();
        try {
            byte[] query = PROOF_QUERY.encode(new ProofQuery(replica.revision().value()));
            ProofAnswer answer = PROOF_ANSWER.decode(network.request(peer, PROOF, query, REQUEST_TIMEOUT));
            fetchAndApply(peer, answer);
            return Optional.of(recordAnswer(peer, answer, requestSentAt));
        } catch (PeerException | BucketUnavailableException failure) {
            LOG.debugf("event=configuration.ask.failed peer=%s reason=\"%s\"", peer, failure.getMessage());
            return Optional.empty();
        } catch (ConfigurationDamagedException failure) {
            LOG.warnf("event=configuration.fetch.failed peer=%s reason=\"%s\"", peer, failure.getMessage());
            return Optional.empty();
        }
    }

    private PeerStatus recordAnswer(VmId peer, ProofAnswer answer, long requestSentAt) {
        Revision revision = new Revision(answer.revision());
        PeerStatus status = new PeerStatus(
                new Incarnation(answer.incarnation()), requestSentAt, revision, answer.voter(), answer.hearsPlatform());
        if (answer.platformAgeNanos() != ProofAnswer.NO_PROOF) {
            replica.recordPlatformProof(revision, requestSentAt - answer.platformAgeNanos());
        }
        replica.recordPeerStatus(peer, status);
        return status;
    }

    /** Fetches and applies a peer's configuration, one peer at a time so that no bucket is fetched twice. */
    private void fetchAndApply(VmId peer, ProofAnswer answer)
            throws PeerException, ConfigurationDamagedException, BucketUnavailableException {
        if (answer.manifest().length == 0) {
            return;
        }
        fetchLock.lock();
        try {
            ConfigurationSnapshot held = replica.snapshot();
            if (answer.revision() > held.revision().value()) {
                replica.apply(fetchNewer(peer, answer, held));
            }
        } finally {
            fetchLock.unlock();
        }
    }

    private ConfigurationSnapshot fetchNewer(VmId peer, ProofAnswer answer, ConfigurationSnapshot held)
            throws PeerException, ConfigurationDamagedException, BucketUnavailableException {
        Manifest manifest = StoredFormat.manifest(answer.manifest());
        Map<String, EncodedBucket> fetched = fetch(peer, missingHashes(manifest, held));
        return ConfigurationSnapshot.assemble(
                answer.manifest(),
                manifest,
                held,
                hash -> fetched.containsKey(hash)
                        ? fetched.get(hash)
                        : held.findBucket(hash).orElseThrow());
    }

    private static List<String> missingHashes(Manifest manifest, ConfigurationSnapshot held) {
        return manifest.buckets().stream()
                .filter(hash -> !hash.equals(Manifest.EMPTY_BUCKET_HASH)
                        && held.findBucket(hash).isEmpty())
                .distinct()
                .toList();
    }

    private Map<String, EncodedBucket> fetch(VmId peer, List<String> hashes)
            throws PeerException, ConfigurationDamagedException, BucketUnavailableException {
        Map<String, EncodedBucket> fetched = new HashMap<>();
        while (fetched.size() < hashes.size()) {
            List<String> remaining = hashes.subList(fetched.size(), hashes.size());
            byte[] query = FETCH_QUERY.encode(new FetchQuery(remaining));
            List<byte[]> buckets = FETCH_ANSWER
                    .decode(network.request(peer, FETCH, query, REQUEST_TIMEOUT))
                    .buckets();
            if (buckets.isEmpty() || buckets.size() > remaining.size()) {
                throw new BucketUnavailableException(
                        peer + " returned no bucket or more than requested, starting at bucket " + remaining.getFirst(),
                        null);
            }
            for (int index = 0; index < buckets.size(); index++) {
                fetched.put(remaining.get(index), EncodedBucket.verified(remaining.get(index), buckets.get(index)));
            }
        }
        return fetched;
    }

    /** Queries several peers concurrently; returns the status of those that answered. */
    Map<VmId, PeerStatus> queryPeers(Collection<VmId> peers) {
        Map<VmId, PeerStatus> answers = new ConcurrentHashMap<>();
        CompletableFuture.allOf(peers.stream()
                        .map(peer -> CompletableFuture.runAsync(
                                () -> queryPeer(peer).ifPresent(status -> answers.put(peer, status)), executor))
                        .toArray(CompletableFuture<?>[]::new))
                .join();
        return answers;
    }

    List<Peer> peers() {
        return network.peers();
    }
}
