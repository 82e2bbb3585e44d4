package io.banyantally.internal.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.banyantally.platform.StoreEra;
import io.banyantally.platform.StoreRevision;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class BatchRevisionsTest {

    private static final StoreEra ERA = new StoreEra(3);
    private static final StoreRevision TRANSACTION = new StoreRevision(ERA, 40);

    /** Guards against a write at a revision that the key does not have, which would end in a conflict each time. */
    @Test
    void revisionsFollowTheNumberingOfTheStore() {
        BatchRevisions consecutive =
                BatchRevisions.of(TRANSACTION, 3, new StoreRevision(ERA, 38)).orElseThrow();
        BatchRevisions shared =
                BatchRevisions.of(TRANSACTION, 3, new StoreRevision(ERA, 40)).orElseThrow();

        assertEquals(
                List.of(new WriteAnswer(3, 38), new WriteAnswer(3, 39), new WriteAnswer(3, 40)),
                consecutive.answers(TRANSACTION, 3));
        assertEquals(
                List.of(new WriteAnswer(3, 40), new WriteAnswer(3, 40), new WriteAnswer(3, 40)),
                shared.answers(TRANSACTION, 3));
    }

    /** Guards against a numbering that is guessed from a key that was written again meanwhile, or in another era. */
    @Test
    void revisionThatFitsNoNumberingTellsNothing() {
        assertEquals(Optional.empty(), BatchRevisions.of(TRANSACTION, 3, new StoreRevision(ERA, 39)));
        assertEquals(Optional.empty(), BatchRevisions.of(TRANSACTION, 3, new StoreRevision(new StoreEra(4), 38)));
    }
}
