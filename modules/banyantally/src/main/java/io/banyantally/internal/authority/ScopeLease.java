package io.banyantally.internal.authority;

import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.platform.KeyValueStore;
import io.banyantally.platform.LeaseId;
import io.banyantally.platform.LeaseLapsedException;
import io.banyantally.platform.StoreException;
import java.time.Duration;

/**
 * A lease at the key-value service, as seen by this process. Its start is read from the clock before a grant or renewal
 * is sent, so that a slow call shortens the authority and never extends it beyond the lease.
 */
final class ScopeLease {

    private final KeyValueStore store;
    private final MonotonicClock clock;
    private final Duration authorityDuration;
    private final LeaseId id;
    private volatile long validSinceNanos;
    private volatile boolean lapsed;

    private ScopeLease(
            KeyValueStore store, MonotonicClock clock, Duration authorityDuration, LeaseId id, long sentAtNanos) {
        this.store = store;
        this.clock = clock;
        this.authorityDuration = authorityDuration;
        this.id = id;
        this.validSinceNanos = sentAtNanos;
    }

    /** Requests a new lease. If the response is lost, the lease has no keys and expires by itself. */
    static ScopeLease grant(KeyValueStore store, MonotonicClock clock, AuthoritySettings settings)
            throws StoreException {
        long sentAtNanos = clock.nanoTime();
        LeaseId id = store.grantLease(settings.lease());
        return new ScopeLease(store, clock, settings.authorityDuration(), id, sentAtNanos);
    }

    LeaseId id() {
        return id;
    }

    /** Returns whether the lease, less its safety margin, is still valid. */
    boolean isValid() {
        return !lapsed && clock.nanoTime() - validSinceNanos < authorityDuration.toNanos();
    }

    Duration timeSinceRenewal() {
        return clock.since(validSinceNanos);
    }

    /** Renews the lease. If the response is lost, the authority keeps its previous end, whatever the service did. */
    void renew() throws StoreException {
        long sentAtNanos = clock.nanoTime();
        try {
            store.renewLease(id);
        } catch (LeaseLapsedException failure) {
            lapsed = true;
            throw failure;
        }
        validSinceNanos = sentAtNanos;
    }

    /** Ends the lease. If the response is lost, the lease expires by itself. */
    void revoke() throws StoreException {
        lapsed = true;
        store.revokeLease(id);
    }
}
