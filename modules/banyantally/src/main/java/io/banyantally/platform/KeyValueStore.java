package io.banyantally.platform;

import java.time.Duration;
import java.util.Optional;

/**
 * The platform's key-value service. It has little capacity and outages: send few requests, tolerate missing responses,
 * and treat a write that ends with an {@link OutcomeUnknownException} as one that may have been applied.
 */
public interface KeyValueStore {

    /** The maximum size of a value. */
    int MAXIMUM_VALUE_BYTES = 1_000_000;

    /** Reads a value; empty when the key does not exist or its lease has expired. */
    Optional<VersionedValue> get(StoreKey key) throws StoreException;

    /**
     * Writes a value if the key's revision is {@code expected}, and returns the new revision.
     *
     * @throws RevisionConflictException if the revision differs; nothing was written
     * @throws StoreUnavailableException if the service could not be reached or refused the write; nothing was written
     * @throws OutcomeUnknownException if the value may have been written
     */
    StoreRevision compareAndSwap(StoreKey key, StoreRevision expected, byte[] value) throws StoreException;

    /**
     * Like {@link #compareAndSwap(StoreKey, StoreRevision, byte[])}, and the service deletes the key when the lease
     * expires.
     *
     * @throws LeaseLapsedException if the lease no longer exists; nothing was written
     */
    StoreRevision compareAndSwap(StoreKey key, StoreRevision expected, byte[] value, LeaseId lease)
            throws StoreException;

    /** Grants a lease that expires after {@code timeToLive} unless it is renewed. */
    LeaseId grantLease(Duration timeToLive) throws StoreException;

    /**
     * Renews the lease for its time to live.
     *
     * @throws LeaseLapsedException if the lease no longer exists
     */
    void renewLease(LeaseId lease) throws StoreException;

    /** Revokes a lease and deletes its keys. Does nothing when the lease no longer exists. */
    void revokeLease(LeaseId lease) throws StoreException;

    /**
     * Waits for at most {@code timeout} until the key's revision differs from {@code known}. The service counts this as
     * one call, regardless of how long it waits.
     */
    ChangeNotice awaitChange(StoreKey key, StoreRevision known, Duration timeout) throws StoreException;
}
