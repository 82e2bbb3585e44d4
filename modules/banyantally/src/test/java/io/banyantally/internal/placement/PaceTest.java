package io.banyantally.internal.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class PaceTest {

    private final Pace pace = new Pace();

    /** Guards against an upstream that is taken for slow long after its last report, so that nobody sends there. */
    @Test
    void oldReportsLoseTheirWeight() {
        assertEquals(1, pace.factor(0));
        pace.record(300, 0);

        assertEquals(3, pace.factor(0), 1e-9);
        assertTrue(pace.factor(millis(300)) > 1.9);
        assertTrue(pace.factor(millis(3000)) < 1.01);
        assertEquals(Optional.empty(), pace.recentReport(millis(1000)));
    }

    /** Guards against an old report of another VM that replaces a later one. */
    @Test
    void laterReportHolds() {
        pace.record(300, millis(100));
        pace.record(new Pace.Report(100, millis(50)));

        assertEquals(3, pace.factor(millis(100)), 1e-9);
    }

    private static long millis(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }
}
