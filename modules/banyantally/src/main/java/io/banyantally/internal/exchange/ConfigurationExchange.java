package io.banyantally.internal.exchange;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.banyantally.internal.deployment.ActiveConfiguration;
import io.banyantally.internal.deployment.ConfigurationHolder;
import io.banyantally.internal.deployment.ConfigurationHolder.Adopted;
import io.banyantally.internal.deployment.MemberPresence;
import io.banyantally.internal.deployment.PrefixListener;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.peer.MessagePackCodec;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.peer.Topic;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.time.Sleeper;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.model.VmId;
import io.banyantally.platform.CoordinationStore.StoreChanges;
import io.banyantally.platform.CoordinationStore.StoreListing;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Fetches the configuration from a peer that has a newer one than the store has shown. A store that comes back from an
 * older copy has an older one until the operator writes again, and a process that starts then knows no other.
 *
 * <p>The versions in force are told with the exchange of work. A document is sent only to a VM that asks for it.
 */
public final class ConfigurationExchange implements PrefixListener {

    /** How often to call {@link #fetchNewer}. */
    public static final Duration INTERVAL = Duration.ofMillis(100);

    /** How long a process that starts waits for its peers; their entries are written again within one renewal. */
    static final Duration START_LIMIT = MemberPresence.RENEWAL_INTERVAL.plusMillis(500);

    /** How long a newer version of a peer is left to the store, which shows a change to all VMs; up to twice this. */
    static final Duration STORE_TIME = Duration.ofMillis(400);

    /** Peers without a reliable version that are asked at the start; more of them mean that the fleet starts. */
    static final int MAXIMUM_STARTING_PEERS = 5;

    /** Peers that are asked in one round. */
    private static final int PEERS_OF_A_ROUND = 3;

    /** Covers the transfer of a large document over a slow link. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(500);

    private static final Duration CONNECT_INTERVAL = Duration.ofMillis(20);

    /** What one VM sends to all peers; more would delay the other messages of its links. */
    private static final long SENT_BYTES_PER_SECOND = 2_000_000;

    /** Of an answer, beside the document. */
    private static final int ANSWER_BYTES = 1_000;

    private static final EventLog LOG = EventLog.of(ConfigurationExchange.class);
    private static final Topic TOPIC = new Topic("gateway.configuration");
    private static final MessagePackCodec<ConfigurationQuery> QUERIES = MessagePackCodec.of(ConfigurationQuery.class);
    private static final MessagePackCodec<ConfigurationAnswer> ANSWERS = MessagePackCodec.of(ConfigurationAnswer.class);

    private final ConfigurationHolder holder;
    private final PeerNetwork peers;
    private final PeerSource listed;
    private final MonotonicClock clock;
    private final Sleeper sleeper;
    private final Counter sent;
    private final Counter fetched;
    private Optional<Heard> newest = Optional.empty();

    /** Whether a peer has told its version, reliable or not. */
    private boolean compared;

    /** Whether peers may rely on the version in force: it was compared with a reliable one, or with all that could be. */
    private boolean reliable;

    private Optional<Compressed> compressed = Optional.empty();
    private long sendingUntil;

    /** Creates the exchange and handles the questions of peers. */
    public ConfigurationExchange(
            ConfigurationHolder holder,
            PeerNetwork peers,
            PeerSource listed,
            MonotonicClock clock,
            Sleeper sleeper,
            MetricRegistry metrics) {
        this.holder = holder;
        this.peers = peers;
        this.listed = listed;
        this.clock = clock;
        this.sleeper = sleeper;
        this.sent = metrics.counter("configuration_exchange.sent");
        this.fetched = metrics.counter("configuration_exchange.fetched");
        this.sendingUntil = clock.nanoTime();
        peers.handle(TOPIC, (sender, payload) -> ANSWERS.encode(answer(QUERIES.decode(payload))));
    }

    /** Returns the version in force; empty if there is none. */
    Optional<Long> version() {
        return holder.current().map(ActiveConfiguration::version);
    }

    /** Compares the first configuration with that of a peer before it takes effect. */
    @Override
    public void listed(StoreListing listing) {
        if (holder.current().isEmpty()) {
            try {
                compareWithPeers(holder.version(listing));
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
        }
        holder.listed(listing);
    }

    @Override
    public void changed(StoreChanges changes) {
        holder.changed(changes);
    }

    /**
     * Waits until a peer has told a reliable version, and its document if that is newer; not for longer than the
     * limit, and not if this VM is alone or its peers have compared with nobody either.
     */
    private void compareWithPeers(OptionalLong read) throws InterruptedException {
        Optional<Long> known = read.isPresent() ? Optional.of(read.getAsLong()) : Optional.empty();
        long startedAt = clock.nanoTime();
        Set<VmId> unsure = new HashSet<>();
        Optional<VmId> peer = Optional.empty();
        while (peer.isEmpty() && isComparing(startedAt, unsure)) {
            listed.connect();
            peer = compareOnce(known, unsure, startedAt);
            if (peer.isEmpty() && isComparing(startedAt, unsure)) {
                sleeper.sleep(peers.peers().isEmpty() ? CONNECT_INTERVAL : INTERVAL);
            }
        }
        if (peer.isPresent() || (!unsure.isEmpty() && unsure.size() >= expectedPeers())) {
            recordReliable();
        }
        LOG.info(
                "configuration_compared",
                EventField.of("version", known.map(String::valueOf).orElse("none")),
                EventField.of("peer", peer.map(VmId::value).orElse("none")),
                EventField.of("unsure_peers", unsure.size()),
                EventField.of("waited_ms", clock.since(startedAt).toMillis()));
    }

    private boolean isComparing(long startedAt, Set<VmId> unsure) {
        return clock.since(startedAt).compareTo(START_LIMIT) < 0 && unsure.size() < expectedPeers();
    }

    /**
     * Asks some connected peers in turn until the limit; returns one whose version is reliable, and adds those that
     * have none, or one that they have compared with nobody.
     */
    private Optional<VmId> compareOnce(Optional<Long> known, Set<VmId> unsure, long startedAt) {
        List<VmId> asked = shuffledPeers().stream()
                .map(Peer::vm)
                .filter(vm -> !unsure.contains(vm))
                .limit(PEERS_OF_A_ROUND)
                .toList();
        for (VmId vm : asked) {
            if (!isComparing(startedAt, unsure)) {
                break;
            }
            Optional<ConfigurationAnswer> answer = ask(vm, known);
            if (answer.isPresent() && isComplete(answer.get(), known)) {
                if (answer.get().reliable()) {
                    return Optional.of(vm);
                }
                unsure.add(vm);
            }
        }
        return Optional.empty();
    }

    /** Returns how many peers without a reliable version end the wait; unlimited until the VMs are listed. */
    private int expectedPeers() {
        OptionalLong others = listed.count();
        return others.isEmpty() ? Integer.MAX_VALUE : (int) Math.min(others.getAsLong(), MAXIMUM_STARTING_PEERS);
    }

    private static boolean isComplete(ConfigurationAnswer answer, Optional<Long> known) {
        return answer.compressed().isPresent()
                || answer.version().isEmpty()
                || !new ConfigurationQuery(known).isBefore(answer.version().get());
    }

    /** Records the version that a peer has in force. */
    synchronized void recordHeard(VmId peer, long version) {
        if (!isNewer(version)) {
            reliable = true;
        }
        Optional<Heard> behind = newest.filter(heard -> isNewer(heard.version()));
        if (isNewer(version) && behind.map(Heard::version).orElse(Long.MIN_VALUE) <= version) {
            long fetchAt = behind.map(Heard::fetchAt).orElseGet(this::firstFetch);
            newest = Optional.of(new Heard(peer, version, fetchAt));
        }
    }

    private boolean isNewer(long version) {
        return new ConfigurationQuery(version()).isBefore(version);
    }

    /** A process that has compared its first configuration with no peer does not leave a newer one to the store. */
    private long firstFetch() {
        return compared ? nextFetch() : clock.nanoTime();
    }

    private long nextFetch() {
        long nanos = STORE_TIME.toNanos();
        return clock.nanoTime() + nanos + ThreadLocalRandom.current().nextLong(nanos);
    }

    /** Fetches a newer configuration that the store has not shown for some time. */
    public void fetchNewer() {
        Optional<Heard> due = takeDue();
        if (due.isEmpty()) {
            return;
        }
        List<VmId> asked = new ArrayList<>();
        // Others come first, since many VMs may have heard of the version from the same one.
        shuffledPeers().stream()
                .map(Peer::vm)
                .filter(vm -> !vm.equals(due.get().peer()))
                .limit(PEERS_OF_A_ROUND - 1)
                .forEach(asked::add);
        asked.add(due.get().peer());
        for (VmId vm : asked) {
            Optional<ConfigurationAnswer> answer = ask(vm, version());
            if (answer.isPresent() && answer.get().compressed().isPresent()) {
                return;
            }
        }
    }

    private synchronized Optional<Heard> takeDue() {
        newest = newest.filter(heard -> isNewer(heard.version()));
        Optional<Heard> due = newest.filter(heard -> clock.nanoTime() - heard.fetchAt() >= 0);
        if (due.isPresent()) {
            newest = Optional.of(new Heard(due.get().peer(), due.get().version(), nextFetch()));
        }
        return due;
    }

    private List<Peer> shuffledPeers() {
        List<Peer> shuffled = new ArrayList<>(peers.peers());
        Collections.shuffle(shuffled);
        return shuffled;
    }

    /** Asks a peer and applies its document; empty if it does not answer. */
    private Optional<ConfigurationAnswer> ask(VmId peer, Optional<Long> known) {
        try {
            byte[] query = QUERIES.encode(new ConfigurationQuery(known));
            ConfigurationAnswer answer = ANSWERS.decode(peers.request(peer, TOPIC, query, REQUEST_TIMEOUT));
            Optional<byte[]> document = answer.document();
            if (document.isPresent()) {
                fetched.inc();
                holder.readFromPeer(peer, document.get());
            }
            if (answer.version().isPresent() && isComplete(answer, known)) {
                recordCompared();
            }
            return Optional.of(answer);
        } catch (PeerException unavailable) {
            LOG.info(
                    "configuration_not_fetched",
                    EventField.of("peer", peer),
                    EventField.of("reason", unavailable.getMessage()));
            return Optional.empty();
        }
    }

    private synchronized void recordCompared() {
        compared = true;
    }

    private synchronized void recordReliable() {
        reliable = true;
    }

    private synchronized boolean isReliable() {
        return reliable;
    }

    private ConfigurationAnswer answer(ConfigurationQuery query) {
        Optional<Adopted> own = holder.adopted();
        if (own.isEmpty()) {
            return ConfigurationAnswer.NONE;
        }
        long version = own.get().configuration().version();
        return new ConfigurationAnswer(
                Optional.of(version), query.isBefore(version) ? take(own.get()) : Optional.empty(), isReliable());
    }

    /** Returns the document to send; empty if it is too large, or if others are being sent. */
    private synchronized Optional<byte[]> take(Adopted own) {
        long version = own.configuration().version();
        if (compressed.isEmpty() || compressed.get().version() != version) {
            compressed = Optional.of(new Compressed(version, ConfigurationAnswer.compress(own.document())));
        }
        byte[] bytes = compressed.get().bytes();
        long now = clock.nanoTime();
        if (bytes.length > PeerNetwork.MAXIMUM_PAYLOAD_BYTES - ANSWER_BYTES || now - sendingUntil < 0) {
            return Optional.empty();
        }
        sendingUntil = now + Duration.ofSeconds(1).toNanos() * bytes.length / SENT_BYTES_PER_SECOND;
        sent.inc();
        return Optional.of(bytes);
    }

    /**
     * A version that a peer has in force and this VM has not.
     *
     * @param fetchAt the monotonic time in nanoseconds from which it is fetched
     */
    private record Heard(VmId peer, long version, long fetchAt) {}

    private record Compressed(long version, byte[] bytes) {}
}
