package io.banyantally.internal.exchange;

import io.banyantally.platform.StoreTransaction;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Conditional writes of several VMs that the store applies in one transaction: all of them or none. */
final class WriteBatch {

    /** The store takes 32 entries in a transaction, and a write is an expected revision and a value. */
    static final int MAXIMUM_WRITES = 16;

    private final List<WriteQuery> writes = new ArrayList<>();
    private final CompletableFuture<List<WriteAnswer>> result = new CompletableFuture<>();
    private boolean closed;

    /**
     * Adds a write.
     *
     * @return the index of the write in the batch; negative if the batch is full, closed, or has a write of the same key
     */
    synchronized int add(WriteQuery query) {
        if (closed
                || writes.size() == MAXIMUM_WRITES
                || writes.stream().anyMatch(write -> write.key().equals(query.key()))) {
            return -1;
        }
        writes.add(query);
        return writes.size() - 1;
    }

    synchronized boolean isFull() {
        return writes.size() == MAXIMUM_WRITES;
    }

    /** Ends the batch; returns its writes, or none if it has ended before. */
    synchronized List<WriteQuery> close() {
        if (closed) {
            return List.of();
        }
        closed = true;
        return List.copyOf(writes);
    }

    /** Returns the transaction of some writes. */
    static StoreTransaction transaction(List<WriteQuery> writes) {
        return writes.stream()
                .map(WriteQuery::toTransaction)
                .reduce(StoreTransaction::and)
                .orElseThrow();
    }

    /** Returns the results of the writes, in order; fails if the store has not applied them, or may not have. */
    CompletableFuture<List<WriteAnswer>> result() {
        return result;
    }
}
