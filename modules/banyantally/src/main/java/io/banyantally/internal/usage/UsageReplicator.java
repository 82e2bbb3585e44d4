package io.banyantally.internal.usage;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.peer.Topic;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.ClientAccountId;
import io.banyantally.model.Incarnation;
import io.banyantally.platform.UsageFigures;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Delays every delivery until another VM has the counters that include it. One task sends one flush at a time; usage
 * that is added meanwhile shares the next flush, so the number of messages does not grow with the number of streams.
 */
public final class UsageReplicator implements UsageRecorder, Runnable {

    static final Topic TOPIC = new Topic("usage.counters");

    /** The minimum time between the starts of two flushes; limits the messages to 500 a second. */
    static final Duration FLUSH_INTERVAL = Duration.ofMillis(2);

    /** How long to wait for peers in other zones, and then again for peers in the same zone. */
    static final Duration ACKNOWLEDGEMENT_LIMIT = Duration.ofMillis(20);

    /** Without new usage, how soon counters that no other zone has acknowledged are sent again. */
    private static final Duration CATCH_UP_INTERVAL = Duration.ofMillis(100);

    /** Keeps a message below the payload limit, even with account names of 128 characters. */
    private static final int MAXIMUM_ACCOUNTS_PER_MESSAGE = 4_000;

    /**
     * The timeout of each message that copies all counters to a new replica; short, since the next flush waits for it.
     */
    private static final Duration FULL_COPY_LIMIT = Duration.ofMillis(50);

    private final PeerNetwork peers;
    private final UsageCounters counters;
    private final MonotonicClock clock;
    private final ReplicaSelector replicaSelector;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition usageAdded = lock.newCondition();
    private final Counter releasedAtRisk;
    private CommitBatch openBatch = new CommitBatch();
    private final Set<ClientAccountId> missingInOtherZones = new HashSet<>();
    private volatile Optional<CounterOrigin> fullReplica = Optional.empty();
    private volatile boolean otherZonesIncomplete;
    private final AtomicLong tokensAtRisk = new AtomicLong();

    /** Creates the replicator of one process and registers a handler for the topic {@code usage.counters}. */
    public UsageReplicator(
            PeerNetwork peers, Peer self, UsageCounters counters, MonotonicClock clock, MetricRegistry metrics) {
        this.peers = peers;
        this.counters = counters;
        this.clock = clock;
        this.replicaSelector = new ReplicaSelector(peers, self, clock);
        this.releasedAtRisk = metrics.counter("usage.tokens.released-at-risk");
        metrics.registerAll(() -> Map.of("usage.tokens.at-risk", (Gauge<Long>) this::tokensAtRisk));
        peers.handle(TOPIC, (sender, payload) -> {
            counters.merge(CounterCodec.decode(payload));
            return ByteBuffer.allocate(Long.BYTES)
                    .putLong(self.incarnation().value())
                    .array();
        });
    }

    @Override
    public void recordBeforeDelivery(ClientAccountId account, UsageFigures added) throws InterruptedException {
        record(account, added).await();
    }

    /** Adds usage and returns the batch whose release allows the delivery. */
    CommitBatch record(ClientAccountId account, UsageFigures added) {
        // The counter grows before the batch is joined, so that the flush of the batch includes the usage.
        counters.add(account, added);
        lock.lock();
        try {
            openBatch.add(account, FigureArithmetic.tokens(added));
            usageAdded.signal();
            return openBatch;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the tokens that were delivered without a copy because no other VM was reachable; 0 once a flush reaches
     * one. Tokens whose copy was lost with a replica do not count; the next flush copies them again.
     */
    public long tokensAtRisk() {
        return tokensAtRisk.get();
    }

    /** Flushes until the thread is interrupted. */
    @Override
    public void run() {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                awaitUsage();
                long start = clock.nanoTime();
                flushOnce();
                long remaining = FLUSH_INTERVAL.minus(clock.since(start)).toNanos();
                if (remaining > 0) {
                    TimeUnit.NANOSECONDS.sleep(remaining);
                }
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        } finally {
            flushOnce();
        }
    }

    private void awaitUsage() throws InterruptedException {
        lock.lockInterruptibly();
        try {
            while (openBatch.isEmpty()) {
                boolean signalled = usageAdded.await(CATCH_UP_INTERVAL.toNanos(), TimeUnit.NANOSECONDS);
                if (!signalled && (otherZonesIncomplete || isFullReplicaDisconnected())) {
                    return;
                }
            }
        } finally {
            lock.unlock();
        }
    }

    /** Sends the counters of the open batch and releases it. Not safe for concurrent calls. */
    void flushOnce() {
        CommitBatch batch = takeBatch();
        missingInOtherZones.addAll(batch.accounts());
        if (isFullReplicaDisconnected()) {
            fullReplica = Optional.empty();
            missingInOtherZones.addAll(counters.ownAccounts());
        }
        if (missingInOtherZones.isEmpty()) {
            return;
        }
        Optional<CounterOrigin> replica = Optional.empty();
        try {
            replica = sendTo(replicaSelector.inOtherZones());
            if (replica.isPresent()) {
                missingInOtherZones.clear();
                tokensAtRisk.set(0);
            } else if (sendTo(replicaSelector.inSameZone()).isPresent()) {
                tokensAtRisk.set(0);
            } else {
                tokensAtRisk.addAndGet(batch.tokens());
                releasedAtRisk.inc(batch.tokens());
            }
            otherZonesIncomplete = !missingInOtherZones.isEmpty();
        } finally {
            batch.release();
        }
        if (replica.isPresent() && !replica.equals(fullReplica)) {
            copyAllTo(replica.get());
        }
    }

    /**
     * Returns whether the process that had all counters is no longer connected; checked also while there is no new
     * usage.
     */
    private boolean isFullReplicaDisconnected() {
        return fullReplica.isPresent()
                && peers.peers().stream().map(CounterOrigin::of).noneMatch(fullReplica.get()::equals);
    }

    private CommitBatch takeBatch() {
        lock.lock();
        try {
            CommitBatch batch = openBatch;
            openBatch = new CommitBatch();
            return batch;
        } finally {
            lock.unlock();
        }
    }

    /** Sends to the first candidate that answers; all candidates share one {@link #ACKNOWLEDGEMENT_LIMIT}. */
    private Optional<CounterOrigin> sendTo(List<Peer> candidates) {
        long start = clock.nanoTime();
        for (Peer peer : candidates) {
            Duration remaining = ACKNOWLEDGEMENT_LIMIT.minus(clock.since(start));
            if (!remaining.isPositive()) {
                break;
            }
            try {
                return Optional.of(send(peer, List.copyOf(missingInOtherZones), remaining));
            } catch (PeerException unanswered) {
                replicaSelector.suspend(peer);
            }
        }
        return Optional.empty();
    }

    /** Returns the incarnation that accepted the counters, which may be newer than the known one. */
    private CounterOrigin send(Peer peer, List<ClientAccountId> accounts, Duration limit) throws PeerException {
        byte[] answer = new byte[0];
        for (int from = 0; from < accounts.size(); from += MAXIMUM_ACCOUNTS_PER_MESSAGE) {
            int to = Math.min(accounts.size(), from + MAXIMUM_ACCOUNTS_PER_MESSAGE);
            byte[] payload = CounterCodec.encode(counters.ownCounters(accounts.subList(from, to)));
            answer = peers.request(peer.vm(), TOPIC, payload, limit);
        }
        if (answer.length != Long.BYTES) {
            throw new PeerException(peer.vm() + " acknowledged usage counters with " + answer.length
                    + " bytes; expected an incarnation of 8 bytes");
        }
        return new CounterOrigin(
                peer.vm(), new Incarnation(ByteBuffer.wrap(answer).getLong()));
    }

    /** Copies all counters to a new replica: it has none of the earlier ones, and the old replica may be lost. */
    private void copyAllTo(CounterOrigin replica) {
        for (Peer peer : replicaSelector.inOtherZones()) {
            if (!peer.vm().equals(replica.vm())) {
                continue;
            }
            try {
                fullReplica = Optional.of(send(peer, counters.ownAccounts(), FULL_COPY_LIMIT));
            } catch (PeerException unanswered) {
                replicaSelector.suspend(peer);
            }
        }
    }
}
