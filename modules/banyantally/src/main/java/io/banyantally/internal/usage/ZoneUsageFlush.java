package io.banyantally.internal.usage;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.platform.KeyValueStore;
import io.banyantally.platform.RevisionConflictException;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.VersionedValue;
import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;

/** Writes the counters of a zone's VMs to the key-value service, so that they survive the loss of a whole site. */
public final class ZoneUsageFlush {

    /** How often {@link #flushOnce()} is to be called. */
    public static final Duration INTERVAL = Duration.ofSeconds(10);

    /** Two VMs of a zone may both write for a short time; the one with a revision conflict merges and writes again. */
    private static final int MAXIMUM_WRITE_ATTEMPTS = 3;

    private final KeyValueStore store;
    private final PeerNetwork peers;
    private final Peer self;
    private final UsageCounters counters;
    private final MonotonicClock clock;
    private final BooleanSupplier isZoneWriter;
    private final Counter tooLarge;
    private final Map<Integer, Stored> latest = new ConcurrentHashMap<>();

    /**
     * Creates the flush of one process.
     *
     * @param isZoneWriter whether this VM currently writes the flush of its zone; several writers at once are harmless
     */
    public ZoneUsageFlush(
            KeyValueStore store,
            PeerNetwork peers,
            Peer self,
            UsageCounters counters,
            MonotonicClock clock,
            BooleanSupplier isZoneWriter,
            MetricRegistry metrics) {
        this.store = store;
        this.peers = peers;
        this.self = self;
        this.counters = counters;
        this.clock = clock;
        this.isZoneWriter = isZoneWriter;
        this.tooLarge = metrics.counter("usage.flush.too-large");
    }

    /**
     * Returns the key of one bucket. Buckets have separate records: with 13,000 accounts, three VMs would fill a single
     * one.
     */
    static StoreKey keyOf(AvailabilityZone zone, int bucket) {
        return new StoreKey("usage-flush/" + zone + "/" + bucket);
    }

    /**
     * Gathers the counters of the zone's VMs and merges them into the stored ones. Buckets without new usage need no store
     * call.
     *
     * @throws StoreException if the flush may not have been written; the next flush includes its usage
     */
    public void flushOnce() throws StoreException {
        if (!isZoneWriter.getAsBoolean()) {
            return;
        }
        CounterTable gathered = counters.ownCounters(counters.ownAccounts());
        Set<CounterOrigin> connected = new HashSet<>(Set.of(counters.own()));
        GatherQuery query = new GatherQuery(GatherQuery.ALL_BUCKETS, 0, true, false, 0);
        for (Peer peer : peers.peers()) {
            if (!peer.zone().equals(self.zone())) {
                continue;
            }
            connected.add(CounterOrigin.of(peer));
            try {
                gathered.mergeAll(
                        UsageGatherer.queryPeer(peers, clock, peer, query).counters());
            } catch (PeerException unanswered) {
                // The VM's replicas have its counters; the next flush queries it again.
            }
        }
        for (int bucket = 0; bucket < UsageBuckets.COUNT; bucket++) {
            write(bucket, gathered.selectBucket(bucket), connected);
        }
    }

    private void write(int bucket, CounterTable gathered, Set<CounterOrigin> connected) throws StoreException {
        for (int attempt = 1; ; attempt++) {
            Stored stored = read(bucket);
            ZoneFlushRecord next = stored.flush().next(gathered, connected);
            if (next.counters().equals(stored.flush().counters())) {
                return;
            }
            byte[] value = next.encode();
            if (value.length > KeyValueStore.MAXIMUM_VALUE_BYTES) {
                tooLarge.inc();
                return;
            }
            // As long as the outcome is unknown, the next write starts from the stored record.
            latest.remove(bucket);
            try {
                StoreRevision revision = store.compareAndSwap(keyOf(self.zone(), bucket), stored.revision(), value);
                latest.put(bucket, new Stored(next, revision));
                return;
            } catch (RevisionConflictException raced) {
                if (attempt == MAXIMUM_WRITE_ATTEMPTS) {
                    throw raced;
                }
            }
        }
    }

    private Stored read(int bucket) throws StoreException {
        Stored known = latest.get(bucket);
        if (known != null) {
            return known;
        }
        Optional<VersionedValue> stored = store.get(keyOf(self.zone(), bucket));
        if (stored.isEmpty()) {
            return new Stored(ZoneFlushRecord.EMPTY, StoreRevision.ABSENT);
        }
        try {
            return new Stored(
                    ZoneFlushRecord.decode(stored.get().value()), stored.get().revision());
        } catch (PeerException malformed) {
            // The live VMs still hold their counters, so an unreadable record is replaced.
            return new Stored(ZoneFlushRecord.EMPTY, stored.get().revision());
        }
    }

    private record Stored(ZoneFlushRecord flush, StoreRevision revision) {}
}
