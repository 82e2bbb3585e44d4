package io.banyantally.internal.exchange;

import io.banyantally.platform.StoreRevision;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

/** How a store numbers the writes of one transaction, which its response does not tell. */
enum BatchRevisions {
    /** All writes have the revision of the transaction. */
    SHARED {
        @Override
        long revision(long last, int index, int count) {
            return last;
        }
    },

    /** Each write has a revision of its own, in order; the last one has that of the transaction. */
    CONSECUTIVE {
        @Override
        long revision(long last, int index, int count) {
            return last - (count - 1 - index);
        }
    };

    abstract long revision(long last, int index, int count);

    /**
     * Returns the numbering by which the first of {@code count} writes got a revision; empty if it fits none.
     *
     * @param transaction the revision in the response to the transaction
     */
    static Optional<BatchRevisions> of(StoreRevision transaction, int count, StoreRevision first) {
        if (!first.era().equals(transaction.era())) {
            return Optional.empty();
        }
        return List.of(values()).stream()
                .filter(numbering -> numbering.revision(transaction.value(), 0, count) == first.value())
                .findFirst();
    }

    /** Returns the revisions of the writes of a transaction, in order. */
    List<WriteAnswer> answers(StoreRevision transaction, int count) {
        return IntStream.range(0, count)
                .mapToObj(index ->
                        new WriteAnswer(transaction.era().value(), revision(transaction.value(), index, count)))
                .toList();
    }
}
