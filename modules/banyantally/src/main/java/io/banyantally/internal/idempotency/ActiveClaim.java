package io.banyantally.internal.idempotency;

import io.banyantally.platform.LeaseId;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

/** A claim of this process, from before its first write until its outcome is stored or its storage is given up. */
final class ActiveClaim {

    private final StoreKey key;
    private final ClaimId id;
    private final long startedAt;
    private final AtomicBoolean sent = new AtomicBoolean();
    private volatile CallRecord latest;
    private volatile Optional<StoreRevision> revision = Optional.empty();
    private volatile Optional<LeaseId> lease = Optional.empty();
    private volatile long endedAt;

    ActiveClaim(StoreKey key, ClaimId id, String requestHash, long startedAt) {
        this.key = key;
        this.id = id;
        this.startedAt = startedAt;
        this.latest = CallRecord.claim(id, requestHash);
    }

    StoreKey key() {
        return key;
    }

    ClaimId id() {
        return id;
    }

    /** Returns the monotonic time, in nanoseconds, at which the request began. */
    long startedAt() {
        return startedAt;
    }

    CallRecord latest() {
        return latest;
    }

    /** Returns the revision of the stored record; empty until the claim is known to be written. */
    Optional<StoreRevision> revision() {
        return revision;
    }

    Optional<LeaseId> lease() {
        return lease;
    }

    void setLease(LeaseId newLease) {
        lease = Optional.of(newLease);
    }

    void setRevision(StoreRevision stored) {
        revision = Optional.of(stored);
    }

    /** Returns true for the first caller only. */
    boolean markSent() {
        return sent.compareAndSet(false, true);
    }

    boolean wasSent() {
        return sent.get();
    }

    void end(CallRecord outcome, long now) {
        endedAt = now;
        latest = outcome;
    }

    boolean hasEnded() {
        return latest.state() != CallState.CLAIMED;
    }

    /** Returns the monotonic time, in nanoseconds, at which the outcome became known; 0 before. */
    long endedAt() {
        return endedAt;
    }
}
