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
        assertEquals(Optional.empty(), pace.notable(millis(1000)));
    }

    /** Guards against an old report of another VM that replaces a later one. */
    @Test
    void laterReportHolds() {
        pace.record(300, millis(100));
        pace.recordOfPeer(new Pace.Report(100, millis(50)));

        assertEquals(3, pace.factor(millis(100)), 1e-9);
    }

    /** Guards against messages with all upstreams, and with what a VM has only heard of others. */
    @Test
    void onlyNotableReportsAreToldToOtherVms() {
        pace.record(110, 0);
        assertEquals(Optional.empty(), pace.notable(0));

        pace.recordOfPeer(new Pace.Report(300, millis(1)));
        assertEquals(300, pace.notable(millis(1)).orElseThrow().percent());
        assertEquals(Optional.empty(), pace.ownNotable(millis(1)));
    }

    private static long millis(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }
}
