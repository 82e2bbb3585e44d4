package io.banyantally.internal.duty;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.testing.ManualClock;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

final class OrderThrottleTest {

    /** Guards against comparing two readings of a moving clock, which made no order ever due. */
    @Test
    void firstOrderIsDueWhileTheClockMoves() {
        AtomicLong moving = new AtomicLong();
        OrderThrottle<String> throttle = new OrderThrottle<>(moving::incrementAndGet);

        assertTrue(throttle.isDue("order"));
    }

    /** Guards against repeating an order, which is charged, before the first one can have taken effect. */
    @Test
    void blockedOrderIsDueAgainAfterItsDelay() {
        ManualClock clock = new ManualClock();
        OrderThrottle<String> throttle = new OrderThrottle<>(clock);
        throttle.block("order", Duration.ofSeconds(4));

        clock.advance(Duration.ofMillis(3999));
        assertFalse(throttle.isDue("order"));
        assertTrue(throttle.isDue("other order"));

        clock.advance(Duration.ofMillis(1));
        assertTrue(throttle.isDue("order"));
    }
}
