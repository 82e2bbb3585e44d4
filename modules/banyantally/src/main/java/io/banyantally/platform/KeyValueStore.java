package io.banyantally.platform;

import java.time.Duration;
import java.util.Optional;

/**
 * The platform's key-value service. It is small and has outages: callers make few calls, do not rely on an answer and treat
 * {@link OutcomeUnknownException} as "may have happened". Values hold at most {@link #MAXIMUM_VALUE_BYTES}.
 */
public interface KeyValueStore {

    /** The largest value that the service accepts. */
    int MAXIMUM_VALUE_BYTES = 1_000_000;

    /** Reads a value; empty when the key does not exist or its lease has lapsed. */
    Optional<VersionedValue> get(StoreKey key) throws StoreException;

    /**
     * Writes a value if the key's revision is {@code expected}, and returns the new revision.
     *
     * @throws RevisionConflictException if the revision differs; nothing was written
     * @throws StoreUnavailableException if nothing was written for another reason
     * @throws OutcomeUnknownException if the value may have been written
     */
    StoreRevision compareAndSwap(StoreKey key, StoreRevision expected, byte[] value) throws StoreException;

    /**
     * Like {@link #compareAndSwap(StoreKey, StoreRevision, byte[])}, and deletes the key when the lease lapses.
     *
     * @throws LeaseLapsedException if the lease no longer exists; nothing was written
     */
    StoreRevision compareAndSwap(StoreKey key, StoreRevision expected, byte[] value, LeaseId lease)
            throws StoreException;

    /** Grants a lease that lapses after {@code timeToLive} unless it is renewed. */
    LeaseId grantLease(Duration timeToLive) throws StoreException;

    /**
     * Starts the lease's time to live again.
     *
     * @throws LeaseLapsedException if the lease no longer exists
     */
    void renewLease(LeaseId lease) throws StoreException;

    /** Ends a lease at once and deletes its keys. Does nothing when the lease no longer exists. */
    void revokeLease(LeaseId lease) throws StoreException;

    /**
     * Waits until the key's revision differs from {@code known}, at most {@code timeout}. The service counts a waiting
     * watch as one call.
     */
    ChangeNotice awaitChange(StoreKey key, StoreRevision known, Duration timeout) throws StoreException;
}
