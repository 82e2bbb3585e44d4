package io.banyantally.platform;

import io.banyantally.internal.time.MonotonicClock;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** An in-memory key-value service for tests and the platform stand-in. Leases expire by the given clock. */
public final class InMemoryKeyValueStore implements KeyValueStore {

    /**
     * The interval at which watches check for expired leases; each check wakes every watch. A write wakes them
     * immediately.
     */
    private static final long WATCH_POLL_MILLIS = 25;

    private final MonotonicClock clock;
    private final Map<StoreKey, Entry> entries = new HashMap<>();
    private final Map<LeaseId, Lease> leases = new HashMap<>();
    private long lastRevision;
    private long lastLease;

    /** Creates an empty service that measures leases and watch timeouts with {@code clock}. */
    public InMemoryKeyValueStore(MonotonicClock clock) {
        this.clock = clock;
    }

    @Override
    public synchronized Optional<VersionedValue> get(StoreKey key) {
        removeExpired();
        return Optional.ofNullable(entries.get(key)).map(Entry::versioned);
    }

    @Override
    public StoreRevision compareAndSwap(StoreKey key, StoreRevision expected, byte[] value) throws StoreException {
        return write(key, expected, value, Optional.empty());
    }

    @Override
    public StoreRevision compareAndSwap(StoreKey key, StoreRevision expected, byte[] value, LeaseId lease)
            throws StoreException {
        return write(key, expected, value, Optional.of(lease));
    }

    private synchronized StoreRevision write(
            StoreKey key, StoreRevision expected, byte[] value, Optional<LeaseId> lease) throws StoreException {
        removeExpired();
        if (value.length > MAXIMUM_VALUE_BYTES) {
            throw new StoreUnavailableException("value of key " + key + " has " + value.length + " bytes; at most "
                    + MAXIMUM_VALUE_BYTES + " are allowed");
        }
        if (lease.isPresent() && !leases.containsKey(lease.get())) {
            throw new LeaseLapsedException("lease " + lease.get() + " of key " + key + " no longer exists");
        }
        Entry currentEntry = entries.get(key);
        StoreRevision current = currentEntry == null ? StoreRevision.ABSENT : currentEntry.revision();
        if (!current.equals(expected)) {
            throw new RevisionConflictException(key, expected, current);
        }
        StoreRevision revision = new StoreRevision(++lastRevision);
        entries.put(key, new Entry(value.clone(), revision, lease));
        notifyAll();
        return revision;
    }

    @Override
    public synchronized LeaseId grantLease(Duration timeToLive) {
        LeaseId id = new LeaseId(++lastLease);
        leases.put(id, new Lease(timeToLive.toNanos(), clock.nanoTime()));
        return id;
    }

    @Override
    public synchronized void renewLease(LeaseId id) throws StoreException {
        removeExpired();
        Lease lease = leases.get(id);
        if (lease == null) {
            throw new LeaseLapsedException("lease " + id + " no longer exists");
        }
        leases.put(id, new Lease(lease.timeToLiveNanos(), clock.nanoTime()));
    }

    @Override
    public synchronized void revokeLease(LeaseId id) {
        if (leases.remove(id) != null) {
            removeEntriesOf(id);
        }
    }

    @Override
    public synchronized ChangeNotice awaitChange(StoreKey key, StoreRevision known, Duration timeout)
            throws StoreException {
        long start = clock.nanoTime();
        while (true) {
            Optional<VersionedValue> current = get(key);
            StoreRevision revision = current.map(VersionedValue::revision).orElse(StoreRevision.ABSENT);
            if (!revision.equals(known)) {
                return new ChangeNotice(true, current);
            }
            if (clock.since(start).compareTo(timeout) >= 0) {
                return new ChangeNotice(false, current);
            }
            try {
                wait(WATCH_POLL_MILLIS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                throw new StoreUnavailableException("the watch was interrupted", interrupted);
            }
        }
    }

    private void removeExpired() {
        long now = clock.nanoTime();
        leases.entrySet().removeIf(entry -> {
            boolean expired = entry.getValue().isExpired(now);
            if (expired) {
                removeEntriesOf(entry.getKey());
            }
            return expired;
        });
    }

    private void removeEntriesOf(LeaseId id) {
        if (entries.values().removeIf(entry -> entry.lease().equals(Optional.of(id)))) {
            notifyAll();
        }
    }

    private record Entry(byte[] value, StoreRevision revision, Optional<LeaseId> lease) {

        VersionedValue versioned() {
            return new VersionedValue(value, revision);
        }
    }

    private record Lease(long timeToLiveNanos, long renewedAt) {

        boolean isExpired(long now) {
            return now - renewedAt >= timeToLiveNanos;
        }
    }
}
