package io.banyantally.internal.deployment;

import io.banyantally.platform.CoordinationStore.StoreChanges;
import io.banyantally.platform.CoordinationStore.StoreListing;

/** Takes what a {@link PrefixWatcher} learns. Calls come from one task, in the order of revisions. */
public interface PrefixListener {

    /** Replaces everything that was known of the prefix. */
    void listed(StoreListing listing);

    /** Applies changes to what is known. */
    void changed(StoreChanges changes);
}
