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
 * Grants the leases that delete call records after their retention time. All claims within an hour share one lease, so
 * a VM grants about 24 leases a day regardless of its traffic.
 */
final class RetentionLeases {

    /** Minimum time for which a record is kept. */
    static final Duration RETENTION = Duration.ofHours(24);

    /**
     * How long new claims use the same lease; a record is kept for at most this much longer than {@link #RETENTION}.
     */
    static final Duration SHARING_PERIOD = Duration.ofHours(1);

    private final KeyValueStore store;
    private final MonotonicClock clock;
    private final ReentrantLock grantLock = new ReentrantLock();
    private final ConcurrentMap<LeaseId, Long> renewedAt = new ConcurrentHashMap<>();
    private volatile Optional<GrantedLease> current = Optional.empty();

    RetentionLeases(KeyValueStore store, MonotonicClock clock) {
        this.store = store;
        this.clock = clock;
    }

    /** Returns the lease for a new claim; grants one if there is none or the current one is too old to be shared. */
    LeaseId leaseForNewClaim() throws StoreException {
        Optional<GrantedLease> present = current.filter(this::isShareable);
        if (present.isPresent()) {
            return present.get().lease();
        }
        grantLock.lock();
        try {
            Optional<GrantedLease> granted = current.filter(this::isShareable);
            return granted.isPresent() ? granted.get().lease() : grant();
        } finally {
            grantLock.unlock();
        }
    }

    private LeaseId grant() throws StoreException {
        long before = clock.nanoTime();
        LeaseId lease = store.grantLease(RETENTION.plus(SHARING_PERIOD));
        renewedAt.put(lease, before);
        current = Optional.of(new GrantedLease(lease, before));
        return lease;
    }

    private boolean isShareable(GrantedLease granted) {
        return clock.since(granted.grantedAt()).compareTo(SHARING_PERIOD) < 0;
    }

    /** Stops using a lease that has expired in the key-value service. */
    void discard(LeaseId lease) {
        renewedAt.remove(lease);
        if (current.isPresent() && current.get().lease().equals(lease)) {
            current = Optional.empty();
        }
    }

    /**
     * Renews the leases of calls in progress, so that no record expires before its call has ended, and drops the leases
     * that are no longer used.
     */
    void renewLeasesInUse(Set<LeaseId> inUse) throws StoreException {
        for (LeaseId lease : Set.copyOf(renewedAt.keySet())) {
            boolean isCurrent = current.isPresent() && current.get().lease().equals(lease);
            Long renewed = renewedAt.get(lease);
            if (renewed == null || clock.since(renewed).compareTo(SHARING_PERIOD) < 0) {
                continue;
            }
            if (inUse.contains(lease)) {
                renew(lease);
            } else if (!isCurrent) {
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

    private record GrantedLease(LeaseId lease, long grantedAt) {}
}
