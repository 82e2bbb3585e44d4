package io.banyantally.standins.measure;

import io.banyantally.platform.ChangeNotice;
import io.banyantally.platform.KeyValueStore;
import io.banyantally.platform.LeaseId;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.StoreUnavailableException;
import io.banyantally.platform.VersionedValue;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.LongAdder;

/** One VM's connection to a shared key-value store, which can be cut. Counts calls; a watch counts as one read. */
final class DisconnectableStore implements KeyValueStore {

    private static final Duration WATCH_POLL = Duration.ofMillis(100);

    private final KeyValueStore shared;
    private final LongAdder reads;
    private final LongAdder writes;
    private volatile boolean disconnected;

    DisconnectableStore(KeyValueStore shared, LongAdder reads, LongAdder writes) {
        this.shared = shared;
        this.reads = reads;
        this.writes = writes;
    }

    /** Makes every further call fail, as if the VM were killed. */
    void disconnect() {
        disconnected = true;
    }

    @Override
    public Optional<VersionedValue> get(StoreKey key) throws StoreException {
        count(reads);
        return shared.get(key);
    }

    @Override
    public StoreRevision compareAndSwap(StoreKey key, StoreRevision expected, byte[] value) throws StoreException {
        count(writes);
        return shared.compareAndSwap(key, expected, value);
    }

    @Override
    public StoreRevision compareAndSwap(StoreKey key, StoreRevision expected, byte[] value, LeaseId lease)
            throws StoreException {
        count(writes);
        return shared.compareAndSwap(key, expected, value, lease);
    }

    @Override
    public LeaseId grantLease(Duration timeToLive) throws StoreException {
        count(writes);
        return shared.grantLease(timeToLive);
    }

    @Override
    public void renewLease(LeaseId lease) throws StoreException {
        count(writes);
        shared.renewLease(lease);
    }

    @Override
    public void revokeLease(LeaseId lease) throws StoreException {
        count(writes);
        shared.revokeLease(lease);
    }

    @Override
    public ChangeNotice awaitChange(StoreKey key, StoreRevision known, Duration timeout) throws StoreException {
        count(reads);
        long start = System.nanoTime();
        while (true) {
            ChangeNotice notice = shared.awaitChange(key, known, Duration.ZERO);
            if (notice.changed() || System.nanoTime() - start >= timeout.toNanos()) {
                return notice;
            }
            try {
                // Hundreds of watches run on this machine; the store's own 5 ms poll would use most of the processor.
                Thread.sleep(WATCH_POLL);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                throw new StoreUnavailableException("the watch was interrupted", interrupted);
            }
        }
    }

    private void count(LongAdder calls) throws StoreException {
        if (disconnected) {
            throw new StoreUnavailableException("the VM is disconnected from the store");
        }
        calls.increment();
    }
}
