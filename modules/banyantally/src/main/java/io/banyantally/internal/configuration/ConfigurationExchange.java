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

/** Passes configurations and proofs between the entry VMs. Only buckets that the receiver does not hold travel. */
public final class ConfigurationExchange {

    static final Topic PROOF = new Topic("configuration.proof");
    static final Topic FETCH = new Topic("configuration.fetch");

    /** Long enough for a peer that fetches a changed bucket from us before it answers. */
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
    private final ReentrantLock fetching = new ReentrantLock();

    /** Creates the exchange and sets its topics' handlers; {@code executor} runs requests to several peers. */
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
            ask(sender.vm());
        }
        ReplicaState state = replica.state();
        ConfigurationSnapshot snapshot = state.snapshot();
        long revision = snapshot.revision().value();
        long age = replica.platformAge(state).map(Duration::toNanos).orElse(ProofAnswer.NO_PROOF);
        byte[] manifest = revision > query.revision() ? snapshot.manifestBytes() : new byte[0];
        return PROOF_ANSWER.encode(new ProofAnswer(
                replica.incarnation().value(), revision, age, state.voter(), replica.hearsPlatform(state), manifest));
    }

    private byte[] answerFetch(byte[] payload) throws PeerException {
        ConfigurationSnapshot snapshot = replica.snapshot();
        List<byte[]> buckets = new ArrayList<>();
        int size = 0;
        for (String hash : FETCH_QUERY.decode(payload).hashes()) {
            Optional<HeldBucket> held = snapshot.held(hash);
            if (held.isEmpty() || size + held.get().bytes().length > Bucket.MAXIMUM_BYTES) {
                break;
            }
            buckets.add(held.get().bytes());
            size += held.get().bytes().length;
        }
        return FETCH_ANSWER.encode(new FetchAnswer(buckets));
    }

    /**
     * Asks a peer for its revision and proof, and applies its configuration if it is newer. Ages count from before the
     * question was sent, so that neither the network nor a pause makes a proof look younger than it is.
     *
     * @return the peer's answer, or empty if there was none
     */
    Optional<PeerContact> ask(VmId peer) {
        long askedAt = clock.nanoTime();
        try {
            byte[] query = PROOF_QUERY.encode(new ProofQuery(replica.revision().value()));
            ProofAnswer answer = PROOF_ANSWER.decode(network.request(peer, PROOF, query, REQUEST_TIMEOUT));
            applyFrom(peer, answer);
            return Optional.of(note(peer, answer, askedAt));
        } catch (PeerException | BucketUnavailableException failure) {
            LOG.debugf("event=configuration.ask.failed peer=%s reason=\"%s\"", peer, failure.getMessage());
            return Optional.empty();
        } catch (ConfigurationDamagedException failure) {
            LOG.warnf("event=configuration.fetch.failed peer=%s reason=\"%s\"", peer, failure.getMessage());
            return Optional.empty();
        }
    }

    private PeerContact note(VmId peer, ProofAnswer answer, long askedAt) {
        Revision revision = new Revision(answer.revision());
        PeerContact contact = new PeerContact(
                new Incarnation(answer.incarnation()), askedAt, revision, answer.voter(), answer.hearsPlatform());
        if (answer.platformAgeNanos() != ProofAnswer.NO_PROOF) {
            replica.creditPlatform(revision, askedAt - answer.platformAgeNanos());
        }
        replica.noteContact(peer, contact);
        return contact;
    }

    /** Fetches and applies a peer's configuration; one at a time, so that nothing is fetched from two peers at once. */
    private void applyFrom(VmId peer, ProofAnswer answer)
            throws PeerException, ConfigurationDamagedException, BucketUnavailableException {
        if (answer.manifest().length == 0) {
            return;
        }
        fetching.lock();
        try {
            ConfigurationSnapshot held = replica.snapshot();
            if (answer.revision() > held.revision().value()) {
                replica.apply(fetchNewer(peer, answer, held));
            }
        } finally {
            fetching.unlock();
        }
    }

    private ConfigurationSnapshot fetchNewer(VmId peer, ProofAnswer answer, ConfigurationSnapshot held)
            throws PeerException, ConfigurationDamagedException, BucketUnavailableException {
        Manifest manifest = StoredFormat.manifest(answer.manifest());
        Map<String, HeldBucket> fetched = fetch(peer, missing(manifest, held));
        return ConfigurationSnapshot.assemble(
                answer.manifest(),
                manifest,
                held,
                hash -> fetched.containsKey(hash)
                        ? fetched.get(hash)
                        : held.held(hash).orElseThrow());
    }

    private static List<String> missing(Manifest manifest, ConfigurationSnapshot held) {
        return manifest.buckets().stream()
                .filter(hash ->
                        !hash.equals(Manifest.NO_BUCKET) && held.held(hash).isEmpty())
                .distinct()
                .toList();
    }

    private Map<String, HeldBucket> fetch(VmId peer, List<String> hashes)
            throws PeerException, ConfigurationDamagedException, BucketUnavailableException {
        Map<String, HeldBucket> fetched = new HashMap<>();
        while (fetched.size() < hashes.size()) {
            List<String> wanted = hashes.subList(fetched.size(), hashes.size());
            byte[] query = FETCH_QUERY.encode(new FetchQuery(wanted));
            List<byte[]> buckets = FETCH_ANSWER
                    .decode(network.request(peer, FETCH, query, REQUEST_TIMEOUT))
                    .buckets();
            if (buckets.isEmpty() || buckets.size() > wanted.size()) {
                throw new BucketUnavailableException(peer + " no longer holds bucket " + wanted.getFirst(), null);
            }
            for (int index = 0; index < buckets.size(); index++) {
                fetched.put(wanted.get(index), HeldBucket.verified(wanted.get(index), buckets.get(index)));
            }
        }
        return fetched;
    }

    /** Asks several peers at the same time, and returns the answers of those that gave one. */
    Map<VmId, PeerContact> askAll(Collection<VmId> peers) {
        Map<VmId, PeerContact> answers = new ConcurrentHashMap<>();
        CompletableFuture.allOf(peers.stream()
                        .map(peer -> CompletableFuture.runAsync(
                                () -> ask(peer).ifPresent(contact -> answers.put(peer, contact)), executor))
                        .toArray(CompletableFuture<?>[]::new))
                .join();
        return answers;
    }

    /** Returns the connected peers. */
    List<Peer> peers() {
        return network.peers();
    }
}
