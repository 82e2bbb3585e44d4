package io.banyantally.internal.deployment;

import io.banyantally.platform.CoordinationStore.StoreChanges;
import io.banyantally.platform.CoordinationStore.StoreListing;

/** Receives the items under a prefix from a {@link PrefixWatcher}. Calls come from one task, in order of revisions. */
public interface PrefixListener {

    /** Replaces all items known under the prefix. */
    void listed(StoreListing listing);

    /** Applies changes to the known items. */
    void changed(StoreChanges changes);

    /** All changes until now have been delivered; called after each answer of the store, also one without changes. */
    default void caughtUp() {}
}
