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
 * Holds every delivery back until another VM has the counters that include it. One task sends one flush at a time; what
 * arrives meanwhile shares the next flush, so the number of messages does not grow with the number of streams.
 */
public final class UsageReplicator implements UsageRecorder, Runnable {

    static final Topic TOPIC = new Topic("usage.counters");

    /** The shortest time between two flushes; bounds the messages to 500 a second. */
    static final Duration FLUSH_INTERVAL = Duration.ofMillis(2);

    /** How long peers in other zones, and then peers in the same zone, are waited for. */
    static final Duration ACKNOWLEDGEMENT_LIMIT = Duration.ofMillis(20);

    /** Longest wait before counters that no other zone has are sent again without new usage. */
    private static final Duration CATCH_UP_INTERVAL = Duration.ofMillis(100);

    /** Keeps a message of full counters below the largest payload, with account names of 128 characters. */
    private static final int MAXIMUM_ACCOUNTS_PER_MESSAGE = 4_000;

    /** The limit for each message that copies all counters to a new replica; the next flush waits for the copy. */
    private static final Duration FULL_COPY_LIMIT = Duration.ofMillis(50);

    private final PeerNetwork peers;
    private final UsageCounters counters;
    private final MonotonicClock clock;
    private final ReplicaChoice replicas;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition arrived = lock.newCondition();
    private final Counter releasedAtRisk;
    private CommitBatch collecting = new CommitBatch();
    private final Set<ClientAccountId> missingInOtherZones = new HashSet<>();
    private volatile Optional<CounterOrigin> fullReplica = Optional.empty();
    private volatile boolean otherZonesLack;
    private final AtomicLong tokensAtRisk = new AtomicLong();

    /** Creates the replicator of one process and handles the topic {@code usage.counters}. */
    public UsageReplicator(
            PeerNetwork peers, Peer self, UsageCounters counters, MonotonicClock clock, MetricRegistry metrics) {
        this.peers = peers;
        this.counters = counters;
        this.clock = clock;
        this.replicas = new ReplicaChoice(peers, self, clock);
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
        // The counter is raised before the batch is joined, so that the flush of the batch includes it.
        counters.add(account, added);
        lock.lock();
        try {
            collecting.add(account, FigureArithmetic.tokens(added));
            arrived.signal();
            return collecting;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the tokens that were released for delivery while no other VM could be reached, until one was reached again.
     * Tokens whose copy was lost with a replica are not among them; they are copied again by the next flush.
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
                long rest = FLUSH_INTERVAL.minus(clock.since(start)).toNanos();
                if (rest > 0) {
                    TimeUnit.NANOSECONDS.sleep(rest);
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
            while (collecting.isEmpty()) {
                boolean signalled = arrived.await(CATCH_UP_INTERVAL.toNanos(), TimeUnit.NANOSECONDS);
                if (!signalled && (otherZonesLack || isReplicaGone())) {
                    return;
                }
            }
        } finally {
            lock.unlock();
        }
    }

    /** Sends the counters of the batch that is collecting, and releases it. Called by one task at a time. */
    void flushOnce() {
        CommitBatch batch = takeBatch();
        missingInOtherZones.addAll(batch.accounts());
        if (isReplicaGone()) {
            fullReplica = Optional.empty();
            missingInOtherZones.addAll(counters.ownAccounts());
        }
        if (missingInOtherZones.isEmpty()) {
            return;
        }
        Optional<CounterOrigin> replica = Optional.empty();
        try {
            replica = sendTo(replicas.inOtherZones());
            if (replica.isPresent()) {
                missingInOtherZones.clear();
                tokensAtRisk.set(0);
            } else if (sendTo(replicas.inSameZone()).isPresent()) {
                tokensAtRisk.set(0);
            } else {
                tokensAtRisk.addAndGet(batch.tokens());
                releasedAtRisk.inc(batch.tokens());
            }
            otherZonesLack = !missingInOtherZones.isEmpty();
        } finally {
            batch.release();
        }
        if (replica.isPresent() && !replica.equals(fullReplica)) {
            copyAllTo(replica.get());
        }
    }

    /** Returns whether the process that had all counters is no longer connected, also when nothing new is to be sent. */
    private boolean isReplicaGone() {
        return fullReplica.isPresent()
                && peers.peers().stream().map(CounterOrigin::of).noneMatch(fullReplica.get()::equals);
    }

    private CommitBatch takeBatch() {
        lock.lock();
        try {
            CommitBatch taken = collecting;
            collecting = new CommitBatch();
            return taken;
        } finally {
            lock.unlock();
        }
    }

    /** Sends to the first candidate that answers within the limit for all of them together. */
    private Optional<CounterOrigin> sendTo(List<Peer> candidates) {
        long start = clock.nanoTime();
        for (Peer peer : candidates) {
            Duration rest = ACKNOWLEDGEMENT_LIMIT.minus(clock.since(start));
            if (!rest.isPositive()) {
                break;
            }
            try {
                return Optional.of(send(peer, List.copyOf(missingInOtherZones), rest));
            } catch (PeerException unanswered) {
                replicas.suspend(peer);
            }
        }
        return Optional.empty();
    }

    /** Returns the incarnation that has taken the counters, which may be newer than the one that is known. */
    private CounterOrigin send(Peer peer, List<ClientAccountId> accounts, Duration limit) throws PeerException {
        byte[] answer = new byte[0];
        for (int from = 0; from < accounts.size(); from += MAXIMUM_ACCOUNTS_PER_MESSAGE) {
            int to = Math.min(accounts.size(), from + MAXIMUM_ACCOUNTS_PER_MESSAGE);
            byte[] payload = CounterCodec.encode(counters.ownCounters(accounts.subList(from, to)));
            answer = peers.request(peer.vm(), TOPIC, payload, limit);
        }
        if (answer.length != Long.BYTES) {
            throw new PeerException(peer.vm() + " answered " + answer.length + " bytes to usage counters");
        }
        return new CounterOrigin(
                peer.vm(), new Incarnation(ByteBuffer.wrap(answer).getLong()));
    }

    /** A new replica has none of the earlier counters, and the old one may be gone. */
    private void copyAllTo(CounterOrigin replica) {
        for (Peer peer : replicas.inOtherZones()) {
            if (!peer.vm().equals(replica.vm())) {
                continue;
            }
            try {
                fullReplica = Optional.of(send(peer, counters.ownAccounts(), FULL_COPY_LIMIT));
            } catch (PeerException unanswered) {
                replicas.suspend(peer);
            }
        }
    }
}
