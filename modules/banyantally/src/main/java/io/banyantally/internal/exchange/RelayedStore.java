package io.banyantally.internal.exchange;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.banyantally.internal.peer.MessagePackCodec;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.peer.Topic;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.VmId;
import io.banyantally.platform.CoordinationStore;
import io.banyantally.platform.LeaseId;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.StoreTransaction;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A store whose watches go through the delegate of the zone in a large fleet. The store charges every watch, and every
 * change ends the watches of all VMs, so direct watches take a number of calls that grows with the square of the fleet
 * while it starts.
 *
 * <p>A VM that gets no answer from the delegate watches the store itself, and so does the delegate. Each prefix is
 * followed by one task, which lists it before the first watch.
 */
public final class RelayedStore implements CoordinationStore {

    /** Changes with larger values are read from the store, as a VM's link is slow compared to the store's. */
    static final int MAXIMUM_RELAYED_BYTES = 16 * 1024;

    /** Added to the time that the delegate may wait; covers the network and pauses of the process. */
    private static final Duration ANSWER_MARGIN = Duration.ofMillis(300);

    /** Added to the time of a watch; the delegate's own watch of the store must have returned within it. */
    private static final Duration CONFIRMATION_MARGIN = Duration.ofSeconds(1);

    /** How long a VM that does not watch the store yet is waited for. */
    private static final Duration CONFIRMATION_WAIT = Duration.ofMillis(300);

    private static final Topic TOPIC = new Topic("gateway.watch");
    private static final MessagePackCodec<WatchQuery> QUERIES = MessagePackCodec.of(WatchQuery.class);
    private static final MessagePackCodec<WatchAnswer> ANSWERS = MessagePackCodec.of(WatchAnswer.class);

    private final CoordinationStore store;
    private final PeerNetwork peers;
    private final ZoneDelegates delegates;
    private final MonotonicClock clock;
    private final Counter relayed;
    private final Counter direct;
    private final Map<String, ChangeHistory> histories = new ConcurrentHashMap<>();

    /** Creates the store and handles the watches of peers. */
    public RelayedStore(
            CoordinationStore store, Peer self, PeerNetwork peers, MonotonicClock clock, MetricRegistry metrics) {
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
        ChangeHistory history = history(prefix);
        Optional<VmId> delegate = wait.isZero() ? Optional.empty() : delegates.ofOwnZone();
        if (delegate.isPresent()) {
            Optional<StoreChanges> changes =
                    relay(delegate.get(), new WatchQuery(prefix, after.value(), wait.toMillis()));
            if (changes.isPresent()) {
                relayed.inc();
                history.add(changes.get(), false);
                return changes.get();
            }
        }
        direct.inc();
        // A VM that has just become the delegate must confirm its history at once, as others wait for its answers.
        boolean confirmed = history.isConfirmedWithin(wait.plus(CONFIRMATION_MARGIN));
        try {
            StoreChanges changes = store.awaitChanges(prefix, after, confirmed ? wait : Duration.ZERO);
            history.add(changes, true);
            return changes;
        } catch (StoreException failure) {
            history.withdrawConfirmation();
            throw failure;
        }
    }

    private Optional<StoreChanges> relay(VmId delegate, WatchQuery query) {
        try {
            Duration timeout = Duration.ofMillis(query.waitMillis()).plus(ANSWER_MARGIN);
            byte[] answer = peers.request(delegate, TOPIC, QUERIES.encode(query), timeout);
            return Optional.of(ANSWERS.decode(answer))
                    .filter(changes -> !changes.readStore())
                    .map(WatchAnswer::toStoreChanges);
        } catch (PeerException unavailable) {
            delegates.recordFailure(delegate);
            return Optional.empty();
        }
    }

    private WatchAnswer answer(WatchQuery query) throws PeerException {
        ChangeHistory history = history(query.prefix());
        StoreRevision after = new StoreRevision(query.after());
        Duration wait = Duration.ofMillis(query.waitMillis());
        long startedAt = clock.nanoTime();
        try {
            while (true) {
                long version = history.version();
                Duration waited = clock.since(startedAt);
                if (!history.isConfirmedWithin(wait.plus(CONFIRMATION_MARGIN))) {
                    // A VM that has just become the delegate confirms its history with its next watch.
                    if (waited.compareTo(CONFIRMATION_WAIT) >= 0) {
                        throw new PeerException("this VM does not watch " + query.prefix() + " at the store");
                    }
                    history.awaitChange(version, CONFIRMATION_WAIT.minus(waited));
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
    public void renewLease(LeaseId lease) throws StoreException {
        store.renewLease(lease);
    }
}
