package io.banyantally.internal.idempotency;

import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.platform.KeyValueStore;
import io.banyantally.platform.LeaseId;
import io.banyantally.platform.LeaseLapsedException;
import io.banyantally.platform.StoreException;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Leases that remove idempotency records after their retention time. All claims of an hour share one lease, so a VM makes
 * about 24 grants a day whatever its traffic.
 */
final class RetentionLeases {

    /** The shortest time that a record is kept. */
    static final Duration RETENTION = Duration.ofHours(24);

    /** How long new claims are attached to the same lease; a record is kept for at most this much longer. */
    static final Duration SHARING = Duration.ofHours(1);

    private final KeyValueStore store;
    private final MonotonicClock clock;
    private final ReentrantLock granting = new ReentrantLock();
    private final ConcurrentMap<LeaseId, Long> renewedAt = new ConcurrentHashMap<>();
    private volatile Optional<Granted> current = Optional.empty();

    RetentionLeases(KeyValueStore store, MonotonicClock clock) {
        this.store = store;
        this.clock = clock;
    }

    /** Returns the lease for a new claim, granting one when the last has been shared long enough. */
    LeaseId forNewClaim() throws StoreException {
        Optional<Granted> present = current.filter(this::isShareable);
        if (present.isPresent()) {
            return present.get().lease();
        }
        granting.lock();
        try {
            Optional<Granted> other = current.filter(this::isShareable);
            return other.isPresent() ? other.get().lease() : grant();
        } finally {
            granting.unlock();
        }
    }

    private LeaseId grant() throws StoreException {
        long before = clock.nanoTime();
        LeaseId lease = store.grantLease(RETENTION.plus(SHARING));
        renewedAt.put(lease, before);
        current = Optional.of(new Granted(lease, before));
        return lease;
    }

    private boolean isShareable(Granted granted) {
        return clock.since(granted.grantedAt()).compareTo(SHARING) < 0;
    }

    /** Stops handing out a lease that the key-value service no longer knows. */
    void discard(LeaseId lease) {
        renewedAt.remove(lease);
        if (current.isPresent() && current.get().lease().equals(lease)) {
            current = Optional.empty();
        }
    }

    /**
     * Renews the leases of calls that are in progress, so that no record lapses before its call has ended, and forgets the
     * leases that are no longer used.
     */
    void renewInUse(Set<LeaseId> inUse) throws StoreException {
        for (LeaseId lease : Set.copyOf(renewedAt.keySet())) {
            boolean shared = current.isPresent() && current.get().lease().equals(lease);
            Long renewed = renewedAt.get(lease);
            if (renewed == null || clock.since(renewed).compareTo(SHARING) < 0) {
                continue;
            }
            if (inUse.contains(lease)) {
                renew(lease);
            } else if (!shared) {
                renewedAt.remove(lease);
            }
        }
    }

    private void renew(LeaseId lease) throws StoreException {
        long before = clock.nanoTime();
        try {
            store.renewLease(lease);
            renewedAt.put(lease, before);
        } catch (LeaseLapsedException lapsed) {
            discard(lease);
        }
    }

    private record Granted(LeaseId lease, long grantedAt) {}
}
