package io.banyantally.standins.measure;

import io.banyantally.platform.ChangeNotice;
import io.banyantally.platform.KeyValueStore;
import io.banyantally.platform.LeaseId;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.VersionedValue;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.LongAdder;

/** Delegates to a key-value store and counts the calls of all VMs; a watch counts as one call. */
final class CountingKeyValueStore implements KeyValueStore {

    private final KeyValueStore store;
    private final LongAdder reads = new LongAdder();
    private final LongAdder writes = new LongAdder();
    private final LongAdder watches = new LongAdder();

    CountingKeyValueStore(KeyValueStore store) {
        this.store = store;
    }

    CallCount count() {
        return new CallCount(reads.sum(), writes.sum(), watches.sum());
    }

    @Override
    public Optional<VersionedValue> get(StoreKey key) throws StoreException {
        reads.increment();
        return store.get(key);
    }

    @Override
    public StoreRevision compareAndSwap(StoreKey key, StoreRevision expected, byte[] value) throws StoreException {
        writes.increment();
        return store.compareAndSwap(key, expected, value);
    }

    @Override
    public StoreRevision compareAndSwap(StoreKey key, StoreRevision expected, byte[] value, LeaseId lease)
            throws StoreException {
        writes.increment();
        return store.compareAndSwap(key, expected, value, lease);
    }

    @Override
    public LeaseId grantLease(Duration timeToLive) throws StoreException {
        writes.increment();
        return store.grantLease(timeToLive);
    }

    @Override
    public void renewLease(LeaseId lease) throws StoreException {
        writes.increment();
        store.renewLease(lease);
    }

    @Override
    public void revokeLease(LeaseId lease) throws StoreException {
        writes.increment();
        store.revokeLease(lease);
    }

    @Override
    public ChangeNotice awaitChange(StoreKey key, StoreRevision known, Duration timeout) throws StoreException {
        watches.increment();
        return store.awaitChange(key, known, timeout);
    }

    record CallCount(long reads, long writes, long watches) {

        CallCount since(CallCount earlier) {
            return new CallCount(reads - earlier.reads, writes - earlier.writes, watches - earlier.watches);
        }

        long total() {
            return reads + writes + watches;
        }
    }
}
