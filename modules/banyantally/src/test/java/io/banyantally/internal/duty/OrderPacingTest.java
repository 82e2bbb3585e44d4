package io.banyantally.internal.duty;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.testing.ManualClock;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

final class OrderPacingTest {

    /** Guards against comparing two readings of a moving clock, which made no order ever due. */
    @Test
    void firstOrderIsDueWhileTheClockMoves() {
        AtomicLong moving = new AtomicLong();
        OrderPacing<String> pacing = new OrderPacing<>(moving::incrementAndGet);

        assertTrue(pacing.isDue("order"));
    }

    /** Guards against repeating an order, which is charged, before the first one can have taken effect. */
    @Test
    void blockedOrderIsDueAgainAfterItsDelay() {
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
