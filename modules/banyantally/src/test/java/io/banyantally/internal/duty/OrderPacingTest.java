package io.banyantally.internal.duty;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.testing.ManualClock;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

final class OrderPacingTest {

    /** Guards against a comparison of two readings of the clock, by which no order was ever due. */
    @Test
    void firstOrderIsDueWhileTheClockMoves() {
        AtomicLong moving = new AtomicLong();
        OrderPacing<String> pacing = new OrderPacing<>(moving::incrementAndGet);

        assertTrue(pacing.isDue("order"));
    }

    /** Guards against orders that are repeated before they can have taken effect; each is paid. */
    @Test
    void blockedOrderIsDueAgainAfterItsTime() {
        ManualClock clock = new ManualClock();
        OrderPacing<String> pacing = new OrderPacing<>(clock);
        pacing.block("order", Duration.ofSeconds(4));

        clock.advance(Duration.ofMillis(3999));
        assertFalse(pacing.isDue("order"));
        assertTrue(pacing.isDue("other order"));

        clock.advance(Duration.ofMillis(1));
        assertTrue(pacing.isDue("order"));
    }
}
