package io.banyantally.internal.time;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.testing.ManualClock;
import java.time.Duration;
import org.junit.jupiter.api.Test;

final class WallClockTest {

    private final ManualClock monotonic = new ManualClock();
    private long timeOfDay = 1_000_000;
    private final WallClock clock = new WallClock(monotonic, () -> timeOfDay);

    /** Guards against requests that are counted in another usage window while the time of day is wrong. */
    @Test
    void jumpThatComesBackIsIgnored() {
        pass(Duration.ofSeconds(1), 2400);
        assertEquals(1_001_000, clock.millis());

        pass(Duration.ofSeconds(6), -2400);
        assertEquals(1_007_000, clock.millis());
    }

    /** Guards against a clock that stays wrong after the time of day was set right for good. */
    @Test
    void jumpThatLastsIsAdopted() {
        pass(Duration.ofSeconds(1), 2400);
        assertEquals(1_001_000, clock.millis());

        pass(WallClock.ADOPTION.plusMillis(1), 0);

        assertEquals(timeOfDay, clock.millis());
    }

    /** Guards against drift between both clocks that adds up over days. */
    @Test
    void driftIsFollowed() {
        for (int second = 0; second < 100; second++) {
            pass(Duration.ofSeconds(1), 10);
            assertEquals(timeOfDay, clock.millis());
        }
    }

    /** Guards against a lease that is taken to run while the VM was suspended. */
    @Test
    void longestTimeCountsSuspension() {
        WallClock.Reading reading = clock.reading();
        timeOfDay += 5000;

        assertTrue(clock.maximumElapsedSince(reading).compareTo(Duration.ofSeconds(5)) >= 0);
    }

    private void pass(Duration time, long jumpMillis) {
        monotonic.advance(time);
        timeOfDay += time.toMillis() + jumpMillis;
        long read = clock.millis();
        assertTrue(read > 0);
    }
}
