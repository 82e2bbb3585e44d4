package io.banyantally.internal.exchange;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.banyantally.internal.peer.MessagePackCodec;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.peer.Topic;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.time.Sleeper;
import io.banyantally.model.VmId;
import io.banyantally.platform.CoordinationStore;
import io.banyantally.platform.LeaseId;
import io.banyantally.platform.StoreEra;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.StoreTransaction;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * A store whose conditional writes of single keys go through one VM of each availability zone, which applies those that
 * arrive within a short time in one transaction. Answers the load of a large fleet in which every VM writes regularly:
 * the store limits the rate of writes and every call has a price.
 *
 * <p>A VM whose write was not applied in a batch, or that does not know whether it was, writes the key itself at the
 * same revision. So a batch that the store applies late fails as a whole if any of its keys was written since.
 */
public final class BatchedStore implements CoordinationStore {

    /** How long a write waits for others. Usage is expected in the store within 1.9 s of the end of its window. */
    static final Duration GATHER_TIME = Duration.ofMillis(400);

    /** Covers the wait for others, the call to the store with its time limit, and the way to the delegate. */
    private static final Duration TIMEOUT = Duration.ofMillis(1500);

    private static final Topic TOPIC = new Topic("gateway.write");
    private static final MessagePackCodec<WriteQuery> QUERIES = MessagePackCodec.of(WriteQuery.class);
    private static final MessagePackCodec<WriteAnswer> ANSWERS = MessagePackCodec.of(WriteAnswer.class);

    private final CoordinationStore store;
    private final PeerNetwork peers;
    private final ZoneDelegates delegates;
    private final Sleeper sleeper;
    private final Counter batched;
    private final Counter direct;
    private WriteBatch batch = new WriteBatch();
    private volatile Optional<BatchRevisions> numbering = Optional.empty();

    /** Creates the store and handles the writes of peers. */
    public BatchedStore(
            CoordinationStore store,
            Peer self,
            PeerNetwork peers,
            MonotonicClock clock,
            Sleeper sleeper,
            MetricRegistry metrics) {
        this.store = store;
        this.peers = peers;
        this.delegates = new ZoneDelegates(self, peers, clock, "write");
        this.sleeper = sleeper;
        this.batched = metrics.counter("store_writes.batched");
        this.direct = metrics.counter("store_writes.direct");
        peers.handle(TOPIC, (sender, payload) -> ANSWERS.encode(applyInBatch(QUERIES.decode(payload))));
    }

    @Override
    public StoreRevision apply(StoreTransaction transaction) throws StoreException {
        if (delegates.areUsed()) {
            Optional<StoreRevision> written = WriteQuery.of(transaction).flatMap(this::writeInBatch);
            if (written.isPresent()) {
                batched.inc();
                return written.get();
            }
        }
        direct.inc();
        return store.apply(transaction);
    }

    private Optional<StoreRevision> writeInBatch(WriteQuery query) {
        Optional<VmId> delegate = delegates.ofOwnZone();
        try {
            WriteAnswer written = delegate.isPresent() ? request(delegate.get(), query) : applyInBatch(query);
            return Optional.of(written.toRevision());
        } catch (PeerException notWritten) {
            return Optional.empty();
        }
    }

    private WriteAnswer request(VmId delegate, WriteQuery query) throws PeerException {
        try {
            return ANSWERS.decode(peers.request(delegate, TOPIC, QUERIES.encode(query), TIMEOUT));
        } catch (PeerException failure) {
            delegates.recordFailure(delegate);
            throw failure;
        }
    }

    /** Adds a write to the present batch and waits for its result. */
    private WriteAnswer applyInBatch(WriteQuery query) throws PeerException {
        Place place = join(query);
        try {
            return place.batch()
                    .result()
                    .get(TIMEOUT.toNanos(), TimeUnit.NANOSECONDS)
                    .get(place.index());
        } catch (ExecutionException failure) {
            throw new PeerException("a batch with key " + query.key() + " was not written", failure);
        } catch (TimeoutException late) {
            throw new PeerException("a batch with key " + query.key() + " got no response", late);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new PeerException("interrupted while a batch was written", interrupted);
        }
    }

    private synchronized Place join(WriteQuery query) {
        int index = batch.add(query);
        if (index < 0) {
            replaceBatch();
            index = batch.add(query);
        }
        Place place = new Place(batch, index);
        if (batch.isFull()) {
            replaceBatch();
        } else if (index == 0) {
            Thread.ofVirtual().name("write-batch").start(() -> writeAfterGathering(place.batch()));
        }
        return place;
    }

    private void replaceBatch() {
        WriteBatch complete = batch;
        batch = new WriteBatch();
        Thread.ofVirtual().name("write-batch").start(() -> write(complete));
    }

    private void writeAfterGathering(WriteBatch open) {
        try {
            sleeper.sleep(GATHER_TIME);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        synchronized (this) {
            if (batch == open) {
                batch = new WriteBatch();
            }
        }
        write(open);
    }

    private void write(WriteBatch complete) {
        List<WriteQuery> writes = complete.close();
        if (writes.isEmpty()) {
            return;
        }
        try {
            StoreRevision revision = store.apply(WriteBatch.transaction(writes));
            complete.result().complete(numbering(revision, writes).answers(revision, writes.size()));
        } catch (StoreException | PeerException failure) {
            complete.result().completeExceptionally(failure);
        }
    }

    /** Reads a key of the first batch to learn how the store numbers the writes of a transaction. */
    private BatchRevisions numbering(StoreRevision revision, List<WriteQuery> writes)
            throws StoreException, PeerException {
        if (writes.size() == 1) {
            return BatchRevisions.SHARED;
        }
        if (numbering.isEmpty()) {
            String first = writes.getFirst().key();
            numbering = store.list(first).items().stream()
                    .filter(item -> item.key().path().equals(first))
                    .map(item -> item.versioned().revision())
                    .flatMap(written -> BatchRevisions.of(revision, writes.size(), written).stream())
                    .findFirst();
        }
        return numbering.orElseThrow(
                () -> new PeerException("the revisions of a batch at " + revision + " are unknown"));
    }

    /** The place of a write in a batch. */
    private record Place(WriteBatch batch, int index) {}

    @Override
    public StoreListing list(String prefix) throws StoreException {
        return store.list(prefix);
    }

    @Override
    public StoreChanges awaitChanges(String prefix, StoreRevision after, Duration wait) throws StoreException {
        return store.awaitChanges(prefix, after, wait);
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
