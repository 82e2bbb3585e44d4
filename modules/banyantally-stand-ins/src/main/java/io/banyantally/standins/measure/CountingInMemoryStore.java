package io.banyantally.standins.measure;

import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.platform.ChangeNotice;
import io.banyantally.platform.InMemoryKeyValueStore;
import io.banyantally.platform.KeyValueStore;
import io.banyantally.platform.LeaseId;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.VersionedValue;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** An in-memory key-value store that counts reads, writes and grants and records the largest value by kind of key. */
final class CountingInMemoryStore implements KeyValueStore {
    final LongAdder reads = new LongAdder();
    final LongAdder writes = new LongAdder();
    final LongAdder grants = new LongAdder();
    final Map<String, Integer> maximumValueBytes = new ConcurrentHashMap<>();
    private final InMemoryKeyValueStore store;

    CountingInMemoryStore(MonotonicClock clock) {
        store = new InMemoryKeyValueStore(clock);
    }

    private void countWrite(StoreKey key, byte[] value) {
        writes.increment();
        String path = key.path();
        String kind = path.endsWith("/open") ? "open" : path.substring(0, path.indexOf('/'));
        maximumValueBytes.merge(kind, value.length, Math::max);
    }

    @Override
    public Optional<VersionedValue> get(StoreKey key) {
        reads.increment();
        return store.get(key);
    }

    @Override
    public StoreRevision compareAndSwap(StoreKey key, StoreRevision expected, byte[] value) throws StoreException {
        countWrite(key, value);
        return store.compareAndSwap(key, expected, value);
    }

    @Override
    public StoreRevision compareAndSwap(StoreKey key, StoreRevision expected, byte[] value, LeaseId lease)
            throws StoreException {
        countWrite(key, value);
        return store.compareAndSwap(key, expected, value, lease);
    }

    @Override
    public LeaseId grantLease(Duration timeToLive) {
        grants.increment();
        return store.grantLease(timeToLive);
    }

    @Override
    public void renewLease(LeaseId lease) throws StoreException {
        writes.increment();
        store.renewLease(lease);
    }

    @Override
    public void revokeLease(LeaseId lease) {
        writes.increment();
        store.revokeLease(lease);
    }

    @Override
    public ChangeNotice awaitChange(StoreKey key, StoreRevision known, Duration timeout) throws StoreException {
        return store.awaitChange(key, known, timeout);
    }
}
