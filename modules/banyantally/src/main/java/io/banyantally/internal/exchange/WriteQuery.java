package io.banyantally.internal.exchange;

import io.banyantally.platform.StoreEra;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.StoreTransaction;
import java.util.List;
import java.util.Optional;

/**
 * Asks a peer to write a key of the store if it has a revision.
 *
 * @param era the era of the store to which {@code revision} belongs
 * @param revision the revision that the key must have
 */
record WriteQuery(String key, long era, long revision, byte[] value) {

    /** Returns the query of a transaction; empty unless it writes one key, without a lease, at the key's revision. */
    static Optional<WriteQuery> of(StoreTransaction transaction) {
        if (transaction.expectations().size() != 1
                || transaction.puts().size() != 1
                || !transaction.deletes().isEmpty()) {
            return Optional.empty();
        }
        StoreTransaction.Expectation expectation = transaction.expectations().getFirst();
        StoreTransaction.Put put = transaction.puts().getFirst();
        return expectation.key().equals(put.key()) && put.lease().isEmpty()
                ? Optional.of(new WriteQuery(
                        put.key().path(),
                        expectation.revision().era().value(),
                        expectation.revision().value(),
                        put.value()))
                : Optional.empty();
    }

    StoreTransaction toTransaction() {
        StoreKey storeKey = new StoreKey(key);
        return new StoreTransaction(
                List.of(new StoreTransaction.Expectation(storeKey, new StoreRevision(new StoreEra(era), revision))),
                List.of(new StoreTransaction.Put(storeKey, value, Optional.empty())),
                List.of());
    }
}
