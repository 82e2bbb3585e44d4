package io.banyantally.internal.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class RefusalBackoffTest {

    private final RefusalBackoff backoff = new RefusalBackoff();

    /** Guards against requests that are sent every 150 ms to an engine that refuses for seconds. */
    @Test
    void avoidanceGrowsWithRepeatedRefusals() {
        assertEquals(Duration.ofMillis(150), refuseAt(0, 0));
        assertEquals(Duration.ofMillis(300), refuseAt(160, 160));
        assertEquals(Duration.ofMillis(600), refuseAt(500, 500));
        assertEquals(Duration.ofMillis(800), refuseAt(1200, 1200));
        assertEquals(Duration.ofMillis(800), refuseAt(2100, 2100));
    }

    /** Guards against a short peak that counts as many refusals because several requests were on their way. */
    @Test
    void requestsSentBeforeARefusalAreNoFurtherSign() {
        refuseAt(0, 10);

        assertEquals(Duration.ofMillis(145), refuseAt(5, 15));
    }

    /** Guards against an upstream that is avoided for long after it was well. */
    @Test
    void acceptedRequestAndTimeEndTheGrowth() {
        refuseAt(0, 0);
        refuseAt(160, 160);
        backoff.recordAccepted();
        assertEquals(Duration.ofMillis(150), refuseAt(500, 500));
        assertEquals(Duration.ofMillis(150), refuseAt(3000, 3000));
    }

    /** Guards against a refusal that is known for a shorter time than it takes to come, as requests go on meanwhile. */
    @Test
    void avoidanceLastsAsLongAsTheRefusalTook() {
        assertEquals(Duration.ofMillis(500), refuseAt(0, 500));
    }

    /** Guards against many requests at once to an upstream that still refuses, and against a probation without end. */
    @Test
    void upstreamIsOnProbationUntilItAcceptsOrForASecond() {
        backoff.avoid(Duration.ofSeconds(3), 0);
        assertEquals(false, backoff.isOnProbation(nanos(2999)));
        assertEquals(true, backoff.isOnProbation(nanos(3000)));
        assertEquals(false, backoff.isOnProbation(nanos(4000)));

        backoff.recordAccepted();
        assertEquals(false, backoff.isOnProbation(nanos(3000)));
    }

    private Duration refuseAt(long sentAtMillis, long nowMillis) {
        backoff.recordRefusal(nanos(sentAtMillis), nanos(nowMillis));
        return Duration.ofNanos(backoff.remainingNanos(nanos(nowMillis)));
    }

    private static long nanos(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }
}
