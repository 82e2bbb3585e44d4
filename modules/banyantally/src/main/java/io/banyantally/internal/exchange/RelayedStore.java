package io.banyantally.internal.exchange;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.banyantally.internal.deployment.EraCheckedStore;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.peer.MessagePackCodec;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.peer.Topic;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.model.VmId;
import io.banyantally.platform.CoordinationStore;
import io.banyantally.platform.HistoryDiscardedException;
import io.banyantally.platform.LeaseId;
import io.banyantally.platform.StoreEra;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.StoreTransaction;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * A store whose watches go through the delegate of the zone in a large fleet. The store charges every watch, and every
 * change ends the watches of all VMs, so direct watches take a number of calls that grows with the square of the fleet
 * while it starts.
 *
 * <p>A VM that gets no answer from the delegate watches the store itself, and so does the delegate. In a fleet of any
 * size, a VM whose own watch fails asks peers, since the store may turn away one VM and serve the others. Each prefix is
 * followed by one task, which lists it before the first watch.
 */
public final class RelayedStore implements CoordinationStore {

    /** Changes with larger values are read from the store, as a VM's link is slow compared to the store's. */
    static final int MAXIMUM_RELAYED_BYTES = 16 * 1024;

    /** Added to the time that the delegate may wait; covers the network and pauses of the process. */
    private static final Duration ANSWER_MARGIN = Duration.ofMillis(300);

    /** Added to the time of a watch; the delegate's own watch of the store must have returned within it. */
    static final Duration CONFIRMATION_MARGIN = Duration.ofSeconds(1);

    /** How long a VM that does not watch the store yet is waited for, if the question may wait at all. */
    private static final Duration CONFIRMATION_WAIT = Duration.ofMillis(300);

    /** How long a VM whose watch failed asks peers before it tries the store again; a silent store delays each try. */
    private static final Duration PEERS_FIRST_TIME = Duration.ofSeconds(2);

    /** Peers that are asked for one watch; enough that the store hardly turns all of them away unless it is away. */
    private static final int MAXIMUM_PEERS = 6;

    private static final EventLog LOG = EventLog.of(RelayedStore.class);
    private static final Topic TOPIC = new Topic("gateway.watch");
    private static final MessagePackCodec<WatchQuery> QUERIES = MessagePackCodec.of(WatchQuery.class);
    private static final MessagePackCodec<WatchAnswer> ANSWERS = MessagePackCodec.of(WatchAnswer.class);

    private final EraCheckedStore store;
    private final PeerNetwork peers;
    private final ZoneDelegates delegates;
    private final MonotonicClock clock;
    private final Counter relayed;
    private final Counter direct;
    private final Map<String, Long> peersFirstUntil = new ConcurrentHashMap<>();
    private final Map<String, ChangeHistory> histories = new ConcurrentHashMap<>();

    /** Creates the store and handles the watches of peers. */
    public RelayedStore(
            EraCheckedStore store, Peer self, PeerNetwork peers, MonotonicClock clock, MetricRegistry metrics) {
        this.store = store;
        this.peers = peers;
        this.delegates = new ZoneDelegates(self, peers, clock, "watch");
        this.clock = clock;
        this.relayed = metrics.counter("store_watches.relayed");
        this.direct = metrics.counter("store_watches.direct");
        peers.handle(TOPIC, (sender, payload) -> ANSWERS.encode(answer(QUERIES.decode(payload))));
    }

    @Override
    public StoreListing list(String prefix) throws StoreException {
        StoreListing listing = store.list(prefix);
        history(prefix).restart(listing.revision());
        return listing;
    }

    @Override
    public StoreChanges awaitChanges(String prefix, StoreRevision after, Duration wait) throws StoreException {
        store.requireCurrent(after);
        WatchQuery query = WatchQuery.of(prefix, after, wait);
        Optional<StoreChanges> relayedChanges = Optional.empty();
        if (arePeersFirst(prefix)) {
            relayedChanges = askPeers(query);
        } else if (!wait.isZero()) {
            relayedChanges = delegates.ofOwnZone().flatMap(delegate -> relay(delegate, query));
            relayedChanges.ifPresent(changes -> recordRelayed(query, changes));
        }
        if (relayedChanges.isEmpty()) {
            return watchStore(query);
        }
        store.requireCurrent(relayedChanges.get().revision());
        return relayedChanges.get();
    }

    private boolean arePeersFirst(String prefix) {
        Long until = peersFirstUntil.get(prefix);
        return until != null && clock.nanoTime() - until < 0;
    }

    private StoreChanges watchStore(WatchQuery query) throws StoreException {
        ChangeHistory history = history(query.prefix());
        // A VM that has just become the delegate must confirm its history at once, as others wait for its answers.
        Duration wait = Duration.ofMillis(query.waitMillis());
        boolean confirmed = history.isConfirmedWithin(wait.plus(CONFIRMATION_MARGIN));
        long startedAt = clock.nanoTime();
        try {
            return readChanges(query, confirmed ? wait : Duration.ZERO);
        } catch (HistoryDiscardedException discarded) {
            throw discarded;
        } catch (StoreException failure) {
            boolean cut = confirmed && clock.since(startedAt).compareTo(wait) < 0;
            Optional<StoreChanges> changes = cut ? readAfterCut(query) : Optional.empty();
            return changes.isPresent() ? changes.get() : askPeersInstead(query, failure);
        }
    }

    /** Reads changes from the store, which confirms the history; a failure withdraws the confirmation. */
    private StoreChanges readChanges(WatchQuery query, Duration wait) throws StoreException {
        ChangeHistory history = history(query.prefix());
        direct.inc();
        try {
            StoreChanges changes = store.awaitChanges(query.prefix(), query.afterRevision(), wait);
            history.add(changes, true);
            return changes;
        } catch (StoreException failure) {
            history.withdrawConfirmation();
            throw failure;
        }
    }

    /**
     * Repeats a watch that ended before its time: its connection may have been cut, and a peer may not know yet that its
     * own was cut, too.
     */
    private Optional<StoreChanges> readAfterCut(WatchQuery query) throws HistoryDiscardedException {
        try {
            return Optional.of(readChanges(query, Duration.ZERO));
        } catch (HistoryDiscardedException discarded) {
            throw discarded;
        } catch (StoreException failedAgain) {
            LOG.info(
                    "watch_not_repeated",
                    EventField.of("prefix", query.prefix()),
                    EventField.of("reason", failedAgain.getMessage()));
            return Optional.empty();
        }
    }

    private StoreChanges askPeersInstead(WatchQuery query, StoreException failure) throws StoreException {
        Optional<StoreChanges> changes = askPeers(WatchQuery.of(query.prefix(), query.afterRevision(), Duration.ZERO));
        if (changes.isEmpty()) {
            throw failure;
        }
        peersFirstUntil.put(query.prefix(), clock.nanoTime() + PEERS_FIRST_TIME.toNanos());
        return changes.get();
    }

    /**
     * Asks several peers at once and returns the first changes, or that there are none once all have answered. A peer
     * may have been turned away too and not know yet that it misses changes, so no single peer is believed.
     */
    private Optional<StoreChanges> askPeers(WatchQuery query) {
        List<Peer> asked = new ArrayList<>(peers.peers());
        Collections.shuffle(asked);
        asked = asked.subList(0, Math.min(MAXIMUM_PEERS, asked.size()));
        if (asked.isEmpty()) {
            return Optional.empty();
        }
        BlockingQueue<Optional<StoreChanges>> answers = new LinkedBlockingQueue<>();
        for (Peer peer : asked) {
            Thread.ofVirtual().name("watch-relay").start(() -> {
                Optional<StoreChanges> answer = Optional.empty();
                try {
                    answer = relay(peer.vm(), query);
                } finally {
                    answers.add(answer);
                }
            });
        }
        int answered = 0;
        Optional<StoreChanges> best = Optional.empty();
        try {
            for (int ended = 0; ended < asked.size() && !hasChanges(best); ended++) {
                Optional<StoreChanges> answer = answers.take();
                if (answer.isPresent()) {
                    answered++;
                }
                best = hasChanges(answer) ? answer : best.or(() -> answer);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        LOG.info(
                "watch_relayed",
                EventField.of("prefix", query.prefix()),
                EventField.of("after", query.afterRevision()),
                EventField.of("asked", asked.size()),
                EventField.of("answered", answered),
                EventField.of(
                        "changes", best.map(changes -> changes.changes().size()).orElse(0)));
        best.ifPresent(changes -> recordRelayed(query, changes));
        return best;
    }

    private static boolean hasChanges(Optional<StoreChanges> answer) {
        return answer.isPresent() && !answer.get().changes().isEmpty();
    }

    private void recordRelayed(WatchQuery query, StoreChanges changes) {
        relayed.inc();
        history(query.prefix()).add(changes, false);
    }

    private Optional<StoreChanges> relay(VmId delegate, WatchQuery query) {
        try {
            Duration timeout = Duration.ofMillis(query.waitMillis()).plus(ANSWER_MARGIN);
            byte[] answer = peers.request(delegate, TOPIC, QUERIES.encode(query), timeout);
            return Optional.of(ANSWERS.decode(answer))
                    .filter(decoded -> !decoded.readStore())
                    .map(WatchAnswer::toStoreChanges);
        } catch (PeerException unavailable) {
            delegates.recordFailure(delegate);
            return Optional.empty();
        }
    }

    private WatchAnswer answer(WatchQuery query) throws PeerException {
        ChangeHistory history = history(query.prefix());
        StoreRevision after = query.afterRevision();
        Duration wait = Duration.ofMillis(query.waitMillis());
        Duration confirmationWait = wait.isZero() ? Duration.ZERO : CONFIRMATION_WAIT;
        long startedAt = clock.nanoTime();
        try {
            while (true) {
                long version = history.version();
                Duration waited = clock.since(startedAt);
                if (!history.isConfirmedWithin(wait.plus(CONFIRMATION_MARGIN))) {
                    // A VM that has just become the delegate confirms its history with its next watch.
                    if (waited.compareTo(confirmationWait) >= 0) {
                        throw new PeerException("this VM does not watch " + query.prefix() + " at the store");
                    }
                    history.awaitChange(version, confirmationWait.minus(waited));
                    continue;
                }
                Optional<StoreChanges> changes = history.after(after);
                if (changes.isEmpty()) {
                    return WatchAnswer.READ_STORE;
                }
                Duration left = wait.minus(waited);
                if (!changes.get().changes().isEmpty() || !left.isPositive()) {
                    WatchAnswer answer = WatchAnswer.of(changes.get());
                    return answer.valueBytes() > MAXIMUM_RELAYED_BYTES ? WatchAnswer.READ_STORE : answer;
                }
                history.awaitChange(version, left);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new PeerException("interrupted while waiting for changes", interrupted);
        }
    }

    private ChangeHistory history(String prefix) {
        return histories.computeIfAbsent(prefix, name -> new ChangeHistory(clock));
    }

    @Override
    public StoreRevision apply(StoreTransaction transaction) throws StoreException {
        return store.apply(transaction);
    }

    @Override
    public LeaseId grantLease(Duration timeToLive) throws StoreException {
        return store.grantLease(timeToLive);
    }

    @Override
    public StoreEra renewLease(LeaseId lease) throws StoreException {
        return store.renewLease(lease);
    }
}
