package io.banyantally.internal.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.platform.StoreEra;
import io.banyantally.platform.StoreRevision;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class TermNumbersTest {

    private static final long LAST_REVISION = (1L << 40) - 1;
    private static final long LAST_ERA = (1L << 13) - 1;

    /** Guards against other numbers than before for a store that does not name its era. */
    @Test
    void withoutAnEraTheNumberIsTheRevision() {
        assertEquals(7, number(0, 7));
    }

    /** Guards against a lower number for a low revision of a later era. */
    @Test
    void anyRevisionOfALaterEraHasAHigherNumber() {
        assertTrue(number(4, 1) > number(3, LAST_REVISION));
    }

    /** Guards against numbers that wrap, or that receivers round when they read them as doubles. */
    @Test
    void largestNumberIsExactAsADoubleAndLargerOnesAreRefused() {
        assertEquals((1L << 53) - 1, number(LAST_ERA, LAST_REVISION));
        assertEquals(Optional.empty(), TermNumbers.of(new StoreRevision(new StoreEra(0), LAST_REVISION + 1)));
        assertEquals(Optional.empty(), TermNumbers.of(new StoreRevision(new StoreEra(LAST_ERA + 1), 1)));
    }

    private static long number(long era, long revision) {
        return TermNumbers.of(new StoreRevision(new StoreEra(era), revision))
                .orElseThrow()
                .value();
    }
}
