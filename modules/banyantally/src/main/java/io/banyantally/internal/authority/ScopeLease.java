package io.banyantally.internal.authority;

import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.platform.KeyValueStore;
import io.banyantally.platform.LeaseId;
import io.banyantally.platform.LeaseLapsedException;
import io.banyantally.platform.StoreException;
import java.time.Duration;

/**
 * A lease at the key-value service, as far as this process may rely on it. The time is read before a grant or renewal is
 * sent, so that the delay of the call shortens the authority and never lengthens it.
 */
final class ScopeLease {

    private final KeyValueStore store;
    private final MonotonicClock clock;
    private final Duration authorityTime;
    private final LeaseId id;
    private volatile long validFrom;
    private volatile boolean lapsed;

    private ScopeLease(KeyValueStore store, MonotonicClock clock, Duration authorityTime, LeaseId id, long sentAt) {
        this.store = store;
        this.clock = clock;
        this.authorityTime = authorityTime;
        this.id = id;
        this.validFrom = sentAt;
    }

    /** Asks for a new lease. A lease whose grant was lost has no keys and lapses by itself. */
    static ScopeLease grant(KeyValueStore store, MonotonicClock clock, AuthoritySettings settings)
            throws StoreException {
        long sentAt = clock.nanoTime();
        LeaseId id = store.grantLease(settings.lease());
        return new ScopeLease(store, clock, settings.authorityTime(), id, sentAt);
    }

    LeaseId id() {
        return id;
    }

    /** Returns whether the lease, less its margin, still runs. */
    boolean isValid() {
        return !lapsed && clock.nanoTime() - validFrom < authorityTime.toNanos();
    }

    Duration sinceRenewal() {
        return clock.since(validFrom);
    }

    /** Renews. When the answer is lost the authority keeps its former end, whatever the service did. */
    void renew() throws StoreException {
        long sentAt = clock.nanoTime();
        try {
            store.renewLease(id);
        } catch (LeaseLapsedException failure) {
            lapsed = true;
            throw failure;
        }
        validFrom = sentAt;
    }

    /** Ends the lease. When the answer is lost, the lease lapses by itself. */
    void revoke() throws StoreException {
        lapsed = true;
        store.revokeLease(id);
    }
}
