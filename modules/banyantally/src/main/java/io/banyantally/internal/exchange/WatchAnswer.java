package io.banyantally.internal.exchange;

import io.banyantally.platform.CoordinationStore.StoreChange;
import io.banyantally.platform.CoordinationStore.StoreChanges;
import io.banyantally.platform.CoordinationStore.StoreItem;
import io.banyantally.platform.StoreEra;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.VersionedValue;
import java.util.List;

/**
 * The changes under a prefix of the store, as a peer has read them.
 *
 * @param era the era of the store to which the revisions belong
 * @param revision the revision from which to continue
 * @param readStore whether the peer has changes that it does not relay, so that the asker must read the store
 */
record WatchAnswer(List<Change> changes, long era, long revision, boolean readStore) {

    /** Tells the asker to read the store itself. */
    static final WatchAnswer READ_STORE = new WatchAnswer(List.of(), 0, 0, true);

    private static final byte[] NO_VALUE = {};

    WatchAnswer {
        changes = List.copyOf(changes);
    }

    static WatchAnswer of(StoreChanges read) {
        return new WatchAnswer(
                read.changes().stream().map(Change::of).toList(),
                read.revision().era().value(),
                read.revision().value(),
                false);
    }

    StoreChanges toStoreChanges() {
        StoreEra storeEra = new StoreEra(era);
        return new StoreChanges(
                changes.stream().map(change -> change.toStoreChange(storeEra)).toList(),
                new StoreRevision(storeEra, revision));
    }

    /** Returns roughly how many bytes the values take. */
    long valueBytes() {
        return changes.stream().mapToLong(change -> change.value().length).sum();
    }

    /** A write or removal; a removal has no value and revisions. */
    record Change(String key, boolean removed, byte[] value, long revision, long created) {

        private static Change of(StoreChange change) {
            return switch (change) {
                case StoreChange.Removed removal -> new Change(removal.key().path(), true, NO_VALUE, 0, 0);
                case StoreChange.Written written ->
                    new Change(
                            written.key().path(),
                            false,
                            written.item().value(),
                            written.item().versioned().revision().value(),
                            written.item().created().value());
            };
        }

        private StoreChange toStoreChange(StoreEra storeEra) {
            StoreKey storeKey = new StoreKey(key);
            if (removed) {
                return new StoreChange.Removed(storeKey);
            }
            VersionedValue versioned = new VersionedValue(value, new StoreRevision(storeEra, revision));
            return new StoreChange.Written(new StoreItem(storeKey, versioned, new StoreRevision(storeEra, created)));
        }
    }
}
