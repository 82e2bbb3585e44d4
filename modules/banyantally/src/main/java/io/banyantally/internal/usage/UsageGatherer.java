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

/** Gathers the counters of a bucket from this process, its peers and the flushes of all zones. */
public final class UsageGatherer {

    /** The longest wait for answers when a window is sealed. */
    static final Duration LONGEST_WAIT = Duration.ofSeconds(10);

    /**
     * A holder that was not asked for this many windows may have counters whose tombstone is gone; half the number of
     * windows that a tombstone is kept.
     */
    static final long OUT_OF_TOUCH_WINDOWS = SealedWindow.TOMBSTONE_WINDOWS / 2;

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
     * @param zones the zones whose flushes are read; those without VMs included
     * @param executor runs one task for each peer, such as a virtual thread
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

    /** Asks everybody and returns what came within the longest wait. */
    Gathered gather(int bucket, long window, Set<CounterOrigin> heardBefore) throws InterruptedException {
        Collection collection = new Collection(window);
        var others = peers.peers();
        CountDownLatch pending = new CountDownLatch(others.size());
        for (Peer peer : others) {
            GatherQuestion question = questionTo(peer, bucket, window, heardBefore);
            executor.execute(() -> {
                try {
                    collection.addAnswer(peer, ask(peers, clock, peer, question));
                } catch (PeerException unanswered) {
                    // Its counters are taken from replicas and flushes, or come later.
                } finally {
                    pending.countDown();
                }
            });
        }
        collection.addAnswer(self, own(questionTo(self, bucket, window, heardBefore)));
        for (AvailabilityZone zone : zones.get()) {
            readFlush(zone, bucket).ifPresent(collection::addFlush);
        }
        boolean complete = pending.await(LONGEST_WAIT.toNanos(), TimeUnit.NANOSECONDS);
        return collection.result(complete);
    }

    private static GatherQuestion questionTo(Peer peer, int bucket, long window, Set<CounterOrigin> heardBefore) {
        return new GatherQuestion(bucket, window, false, heardBefore.contains(CounterOrigin.of(peer)), 0);
    }

    private Holding own(GatherQuestion question) {
        CounterTable table = new CounterTable();
        int next = question.fromOrigin();
        long lastWindow = 0;
        while (next != GatherAnswer.COMPLETE) {
            GatherAnswer page = ownHandler.answer(question.startingAt(next));
            try {
                table.mergeAll(CounterCodec.decode(page.counters()));
            } catch (PeerException impossible) {
                throw new IllegalStateException("this process cannot read its own counters", impossible);
            }
            next = page.nextOrigin();
            lastWindow = page.lastWindow();
        }
        return new Holding(table, lastWindow);
    }

    /** Asks one peer for all its pages. */
    static Holding ask(PeerNetwork peers, MonotonicClock clock, Peer peer, GatherQuestion question)
            throws PeerException {
        long start = clock.nanoTime();
        CounterTable table = new CounterTable();
        int next = question.fromOrigin();
        long lastWindow = 0;
        while (next != GatherAnswer.COMPLETE) {
            Duration rest = LONGEST_WAIT.minus(clock.since(start));
            if (!rest.isPositive()) {
                throw new PeerException(peer.vm() + " did not send all usage counters within " + LONGEST_WAIT);
            }
            byte[] payload = UsageGatherHandler.QUESTIONS.encode(question.startingAt(next));
            GatherAnswer page = UsageGatherHandler.ANSWERS.decode(
                    peers.request(peer.vm(), UsageGatherHandler.TOPIC, payload, rest));
            table.mergeAll(CounterCodec.decode(page.counters()));
            next = page.nextOrigin();
            lastWindow = page.lastWindow();
        }
        return new Holding(table, lastWindow);
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

    /** What one process holds, and the last window for which it was asked before. */
    record Holding(CounterTable counters, long lastWindow) {}

    private static final class Collection {
        private final long window;
        private final CounterTable table = new CounterTable();
        private final Set<CounterOrigin> answered = new HashSet<>();
        private final Set<CounterOrigin> inTouch = new HashSet<>();
        private boolean closed;

        Collection(long window) {
            this.window = window;
        }

        synchronized void addAnswer(Peer holder, Holding holding) {
            if (closed) {
                return;
            }
            table.mergeAll(holding.counters());
            // The origin must be among the answer's: a restarted VM answers under another incarnation.
            if (holding.counters().contains(CounterOrigin.of(holder))) {
                answered.add(CounterOrigin.of(holder));
            }
            if (holding.lastWindow() == 0 || window - holding.lastWindow() <= OUT_OF_TOUCH_WINDOWS) {
                inTouch.addAll(holding.counters().origins());
            }
        }

        synchronized void addFlush(CounterTable flush) {
            table.mergeAll(flush);
            inTouch.addAll(flush.origins());
        }

        synchronized Gathered result(boolean complete) {
            closed = true;
            Set<CounterOrigin> outOfTouch = new HashSet<>(table.origins());
            outOfTouch.removeAll(inTouch);
            return new Gathered(complete ? table : table.copy(), Set.copyOf(answered), outOfTouch);
        }
    }
}
