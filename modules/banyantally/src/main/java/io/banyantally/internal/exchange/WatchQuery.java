package io.banyantally.internal.exchange;

import io.banyantally.platform.StoreEra;
import io.banyantally.platform.StoreRevision;
import java.time.Duration;

/**
 * Asks a peer for the changes under a prefix of the store.
 *
 * @param era the era of the store to which {@code after} belongs
 * @param after the revision after which changes are wanted
 * @param waitMillis how long the peer may wait for a change
 */
record WatchQuery(String prefix, long era, long after, long waitMillis) {

    static WatchQuery of(String prefix, StoreRevision after, Duration wait) {
        return new WatchQuery(prefix, after.era().value(), after.value(), wait.toMillis());
    }

    StoreRevision afterRevision() {
        return new StoreRevision(new StoreEra(era), after);
    }
}
