package io.banyantally.platform;

import java.time.Duration;
import java.util.List;

/**
 * The platform's key-value service for processes that share state under common key prefixes: reads of a prefix, watches
 * from a revision, transactions and leases. Reads are linearizable.
 */
public interface CoordinationStore {

    /** Reads all items whose keys begin with {@code prefix}. A long list is read in pages that are not one snapshot. */
    StoreListing list(String prefix) throws StoreException;

    /**
     * Waits for at most {@code wait} until an item under {@code prefix} changes after a revision. The service counts
     * this as one call, regardless of how long it waits.
     *
     * @throws HistoryDiscardedException if the service has discarded changes since the revision
     */
    StoreChanges awaitChanges(String prefix, StoreRevision after, Duration wait) throws StoreException;

    /**
     * Applies a transaction atomically.
     *
     * @throws RevisionConflictException if a key does not have its expected revision; nothing was written
     * @throws LeaseLapsedException if a lease no longer exists; nothing was written
     * @throws OutcomeUnknownException if the changes may have been applied, or may be applied later
     */
    StoreRevision apply(StoreTransaction transaction) throws StoreException;

    /** Grants a lease that expires after {@code timeToLive} unless it is renewed. */
    LeaseId grantLease(Duration timeToLive) throws StoreException;

    /**
     * Renews the lease for its time to live.
     *
     * @return the era of the store that renewed it; another one than that of the lease may have renewed another lease
     * @throws LeaseLapsedException if the lease no longer exists
     */
    StoreEra renewLease(LeaseId lease) throws StoreException;

    /** A key and its value, with the revisions of its last change and of its creation. */
    record StoreItem(StoreKey key, VersionedValue versioned, StoreRevision created) {

        /** Returns a copy of the value's bytes. */
        public byte[] value() {
            return versioned.value();
        }
    }

    /**
     * All items under a prefix.
     *
     * @param revision the revision from which to start a watch
     */
    record StoreListing(List<StoreItem> items, StoreRevision revision) {

        /** Copies the list. */
        public StoreListing {
            items = List.copyOf(items);
        }
    }

    /**
     * The changes since a revision, oldest first.
     *
     * @param revision the revision from which to start the next watch
     */
    record StoreChanges(List<StoreChange> changes, StoreRevision revision) {

        /** Copies the list. */
        public StoreChanges {
            changes = List.copyOf(changes);
        }
    }

    /** A change of one key: a write or a removal. */
    sealed interface StoreChange {

        /** Returns the key that changed. */
        StoreKey key();

        /** The item was written. */
        record Written(StoreItem item) implements StoreChange {
            @Override
            public StoreKey key() {
                return item.key();
            }
        }

        /** The item was deleted, or its lease expired. */
        record Removed(StoreKey key) implements StoreChange {}
    }
}
