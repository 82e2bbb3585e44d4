package io.banyantally.platform;

import java.time.Duration;
import java.util.List;

/**
 * The platform's key-value service as processes that share state by prefix use it: reads of a prefix, watches from a
 * revision, transactions and leases. Reads are linearizable.
 */
public interface CoordinationStore {

    /** Reads all items whose keys begin with {@code prefix}. The pages of a long list are not one snapshot. */
    StoreListing list(String prefix) throws StoreException;

    /**
     * Waits until an item under {@code prefix} changes after a revision, at most {@code wait}. The service counts the call
     * once, however long it waits.
     *
     * @throws HistoryDiscardedException if the service no longer knows all changes since the revision
     */
    StoreChanges awaitChanges(String prefix, StoreRevision after, Duration wait) throws StoreException;

    /**
     * Applies all changes of a transaction, or none.
     *
     * @throws RevisionConflictException if an expectation does not hold; nothing was written
     * @throws LeaseLapsedException if a lease no longer exists; nothing was written
     * @throws OutcomeUnknownException if the changes may have been applied, or may be applied later
     */
    StoreRevision apply(StoreTransaction transaction) throws StoreException;

    /** Grants a lease that lapses after {@code timeToLive} unless it is renewed. */
    LeaseId grantLease(Duration timeToLive) throws StoreException;

    /**
     * Starts the lease's time to live again.
     *
     * @throws LeaseLapsedException if the lease no longer exists
     */
    void renewLease(LeaseId lease) throws StoreException;

    /** An item with the revisions of its last change and of its creation. */
    record StoreItem(StoreKey key, VersionedValue versioned, StoreRevision created) {

        /** Returns the item's bytes. */
        public byte[] value() {
            return versioned.value();
        }
    }

    /**
     * All items of a prefix.
     *
     * @param revision the revision from which a watch continues
     */
    record StoreListing(List<StoreItem> items, StoreRevision revision) {

        /** Copies the items. */
        public StoreListing {
            items = List.copyOf(items);
        }
    }

    /**
     * The changes since a revision, oldest first.
     *
     * @param revision the revision from which the next watch continues
     */
    record StoreChanges(List<StoreChange> changes, StoreRevision revision) {

        /** Copies the changes. */
        public StoreChanges {
            changes = List.copyOf(changes);
        }
    }

    /** A write or a removal. */
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

        /** The item was deleted, or its lease ended. */
        record Removed(StoreKey key) implements StoreChange {}
    }
}
