package io.banyantally.testing;

import io.banyantally.internal.deployment.PrefixListener;
import io.banyantally.platform.CoordinationStore;
import io.banyantally.platform.CoordinationStore.StoreChanges;
import io.banyantally.platform.CoordinationStore.StoreListing;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreRevision;
import java.time.Duration;
import java.util.Optional;

/** Delivers store changes to a listener when a test calls it, instead of a task that watches the store. */
public final class StoreFeed {

    private final CoordinationStore store;
    private final String prefix;
    private final PrefixListener listener;
    private Optional<StoreRevision> position = Optional.empty();

    /** Creates a feed that has not read the store. */
    public StoreFeed(CoordinationStore store, String prefix, PrefixListener listener) {
        this.store = store;
        this.prefix = prefix;
        this.listener = listener;
    }

    /** Delivers all changes since the last call; the first call delivers a listing. */
    public void deliver() throws StoreException {
        if (position.isEmpty()) {
            StoreListing listing = store.list(prefix);
            listener.listed(listing);
            position = Optional.of(listing.revision());
        } else {
            StoreChanges changes = store.awaitChanges(prefix, position.get(), Duration.ZERO);
            listener.changed(changes);
            position = Optional.of(changes.revision());
        }
        listener.caughtUp();
    }

    /** Delivers a new listing, as after the store has discarded its history. */
    public void listAgain() throws StoreException {
        position = Optional.empty();
        deliver();
    }
}
