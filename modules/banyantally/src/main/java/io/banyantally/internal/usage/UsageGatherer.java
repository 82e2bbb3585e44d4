package io.banyantally.internal.usage;

import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.platform.KeyValueStore;
import io.banyantally.platform.StoreException;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Gathers the counters of a bucket from this process, its peers and the stored flushes of all zones. */
public final class UsageGatherer {

    /** How long to wait for answers when a window is sealed. */
    static final Duration MAXIMUM_WAIT = Duration.ofSeconds(10);

    /**
     * A process that was not queried for this many windows may hold billed counters whose tombstone is removed already;
     * half the number of windows that a tombstone is kept.
     */
    static final long STALE_AFTER_WINDOWS = SealedWindow.TOMBSTONE_WINDOWS / 2;

    private final PeerNetwork peers;
    private final Peer self;
    private final UsageGatherHandler ownHandler;
    private final KeyValueStore store;
    private final Supplier<Set<AvailabilityZone>> zones;
    private final MonotonicClock clock;
    private final Executor executor;

    /**
     * Creates the gatherer of one process.
     *
     * @param zones the zones whose flushes are read, including zones without VMs
     * @param executor runs one blocking task for each peer, for example on virtual threads
     */
    public UsageGatherer(
            PeerNetwork peers,
            Peer self,
            UsageGatherHandler ownHandler,
            KeyValueStore store,
            Supplier<Set<AvailabilityZone>> zones,
            MonotonicClock clock,
            Executor executor) {
        this.peers = peers;
        this.self = self;
        this.ownHandler = ownHandler;
        this.store = store;
        this.zones = zones;
        this.clock = clock;
        this.executor = executor;
    }

    /** Queries this process and all peers and returns the counters that arrived within {@link #MAXIMUM_WAIT}. */
    GatheredCounters gather(int bucket, long window, Set<CounterOrigin> heardBefore) throws InterruptedException {
        AnswerCollector collector = new AnswerCollector(window);
        var others = peers.peers();
        CountDownLatch pending = new CountDownLatch(others.size());
        for (Peer peer : others) {
            GatherQuery query = queryFor(peer, bucket, window, heardBefore);
            executor.execute(() -> {
                try {
                    collector.addAnswer(peer, queryPeer(peers, clock, peer, query));
                } catch (PeerException unanswered) {
                    // Its counters are read from replicas and flushes, or in a later window.
                } finally {
                    pending.countDown();
                }
            });
        }
        collector.addAnswer(self, queryOwnCounters(queryFor(self, bucket, window, heardBefore)));
        for (AvailabilityZone zone : zones.get()) {
            readFlush(zone, bucket).ifPresent(collector::addFlush);
        }
        boolean complete = pending.await(MAXIMUM_WAIT.toNanos(), TimeUnit.NANOSECONDS);
        return collector.result(complete);
    }

    private static GatherQuery queryFor(Peer peer, int bucket, long window, Set<CounterOrigin> heardBefore) {
        return new GatherQuery(bucket, window, false, heardBefore.contains(CounterOrigin.of(peer)), 0);
    }

    private HeldCounters queryOwnCounters(GatherQuery query) {
        CounterTable table = new CounterTable();
        int next = query.fromOrigin();
        long lastWindow = 0;
        while (next != GatherAnswer.COMPLETE) {
            GatherAnswer page = ownHandler.answer(query.startingAt(next));
            try {
                table.mergeAll(CounterCodec.decode(page.counters()));
            } catch (PeerException impossible) {
                throw new IllegalStateException("this process cannot read its own counters", impossible);
            }
            next = page.nextOrigin();
            lastWindow = page.lastWindow();
        }
        return new HeldCounters(table, lastWindow);
    }

    /** Requests all pages of one peer within {@link #MAXIMUM_WAIT}. */
    static HeldCounters queryPeer(PeerNetwork peers, MonotonicClock clock, Peer peer, GatherQuery query)
            throws PeerException {
        long start = clock.nanoTime();
        CounterTable table = new CounterTable();
        int next = query.fromOrigin();
        long lastWindow = 0;
        while (next != GatherAnswer.COMPLETE) {
            Duration remaining = MAXIMUM_WAIT.minus(clock.since(start));
            if (!remaining.isPositive()) {
                throw new PeerException(peer.vm() + " did not send all usage counters within " + MAXIMUM_WAIT);
            }
            byte[] payload = UsageGatherHandler.QUERY_CODEC.encode(query.startingAt(next));
            GatherAnswer page = UsageGatherHandler.ANSWER_CODEC.decode(
                    peers.request(peer.vm(), UsageGatherHandler.TOPIC, payload, remaining));
            table.mergeAll(CounterCodec.decode(page.counters()));
            next = page.nextOrigin();
            lastWindow = page.lastWindow();
        }
        return new HeldCounters(table, lastWindow);
    }

    private Optional<CounterTable> readFlush(AvailabilityZone zone, int bucket) {
        try {
            var stored = store.get(ZoneUsageFlush.keyOf(zone, bucket));
            if (stored.isEmpty()) {
                return Optional.empty();
            }
            return Optional.of(ZoneFlushRecord.decode(stored.get().value()).counters());
        } catch (StoreException | PeerException unreadable) {
            return Optional.empty();
        }
    }

    /** The counters that one process holds, and the last window for which it was queried before. */
    record HeldCounters(CounterTable counters, long lastWindow) {}

    private static final class AnswerCollector {
        private final long window;
        private final CounterTable table = new CounterTable();
        private final Set<CounterOrigin> answered = new HashSet<>();
        private final Set<CounterOrigin> currentOrigins = new HashSet<>();
        private boolean closed;

        AnswerCollector(long window) {
            this.window = window;
        }

        synchronized void addAnswer(Peer holder, HeldCounters held) {
            if (closed) {
                return;
            }
            table.mergeAll(held.counters());
            // The origin must be in the answer: a restarted VM answers under another incarnation.
            if (held.counters().contains(CounterOrigin.of(holder))) {
                answered.add(CounterOrigin.of(holder));
            }
            if (held.lastWindow() == 0 || window - held.lastWindow() <= STALE_AFTER_WINDOWS) {
                currentOrigins.addAll(held.counters().origins());
            }
        }

        synchronized void addFlush(CounterTable flush) {
            table.mergeAll(flush);
            currentOrigins.addAll(flush.origins());
        }

        synchronized GatheredCounters result(boolean complete) {
            closed = true;
            Set<CounterOrigin> staleOrigins = new HashSet<>(table.origins());
            staleOrigins.removeAll(currentOrigins);
            return new GatheredCounters(complete ? table : table.copy(), Set.copyOf(answered), staleOrigins);
        }
    }
}
