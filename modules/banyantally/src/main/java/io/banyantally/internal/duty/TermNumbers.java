package io.banyantally.internal.duty;

import io.banyantally.model.FencingNumber;
import io.banyantally.platform.StoreEra;
import io.banyantally.platform.StoreRevision;
import java.util.Optional;

/** Numbers the terms of the duties so that they rise over the eras of the store, which assigns revisions again. */
final class TermNumbers {

    /** Revisions from here on have no number. */
    private static final long REVISIONS_PER_ERA = 1L << 40;

    /** Receivers may read numbers as doubles, which are exact up to 2^53, so eras from here on have no number. */
    private static final long ERAS = 1L << 13;

    private TermNumbers() {}

    /** Returns the era of the store to which a number belongs. */
    static StoreEra era(FencingNumber number) {
        return new StoreEra(number.value() / REVISIONS_PER_ERA);
    }

    /** Returns the number of a term by the revision of its entry; empty if the era or the revision is too large. */
    static Optional<FencingNumber> of(StoreRevision revision) {
        long era = revision.era().value();
        return era < ERAS && revision.value() < REVISIONS_PER_ERA
                ? Optional.of(new FencingNumber(era * REVISIONS_PER_ERA + revision.value()))
                : Optional.empty();
    }
}
