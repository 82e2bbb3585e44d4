package io.banyantally.internal.exchange;

import io.banyantally.platform.StoreEra;
import io.banyantally.platform.StoreRevision;

/**
 * The revision at which a peer has written a key of the store.
 *
 * @param era the era of the store to which {@code revision} belongs
 */
record WriteAnswer(long era, long revision) {

    StoreRevision toRevision() {
        return new StoreRevision(new StoreEra(era), revision);
    }
}
