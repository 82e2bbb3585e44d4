package io.banyantally.internal.duty;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class DutyTimesTest {

    private static final Duration CALL_TIMEOUT = Duration.ofMillis(700);

    /** Guards against turns of two holders where the store ends each lease early. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1000, 3000, 10_000})
    void formerHolderActsAgainOnlyAfterTheTurnTime(int turnMillis) {
        DutyTimes times = DutyTimes.withoutTurnsWithin(Duration.ofMillis(turnMillis));
        // Of the election of B: the end of A's permission, the next election after the last renewal that lets B act.
        Duration lastActOfA = times.permission();
        Duration earliestElectionOfA = times.takeoverWait().minus(times.permission());

        Duration between =
                earliestElectionOfA.plus(times.takeoverWait()).minus(lastActOfA).minus(CALL_TIMEOUT);

        assertTrue(between.toMillis() >= turnMillis, "between both: " + between);
    }

    /** Guards against a first call of a new holder that overtakes the last one of the former, a second on the way. */
    @Test
    void newHolderWaitsForTheLastCallOfTheFormerOne() {
        DutyTimes times = DutyTimes.withoutTurnsWithin(Duration.ZERO);

        Duration between = times.takeoverWait().minus(times.permission());

        assertTrue(between.compareTo(CALL_TIMEOUT.plusSeconds(1)) >= 0, "between both: " + between);
    }

    /** Guards against turns of two holders where the last call of the former one is a second longer on the way. */
    @Test
    void formerHolderActsAgainOnlyAfterTheTurnTimeOfALateCall() {
        Duration turnTime = Duration.ofSeconds(3);
        DutyTimes times = DutyTimes.withoutTurnsWithin(turnTime);
        Duration earliestElectionOfA = times.takeoverWait().minus(times.permission());

        Duration between = earliestElectionOfA
                .plus(times.takeoverWait())
                .minus(times.permission())
                .minus(CALL_TIMEOUT.plusSeconds(1));

        assertTrue(between.compareTo(turnTime) >= 0, "between both: " + between);
    }

    /** Guards against terms that end because one renewal and its time limit of a second went by without a response. */
    @Test
    void leaseOutlastsARenewalWithoutAResponse() {
        DutyTimes times = DutyTimes.withoutTurnsWithin(Duration.ofSeconds(3));

        Duration repeatedAfter =
                DutyLease.RENEWAL_INTERVAL.plus(DutyLease.INTERVAL).plusSeconds(1);

        assertTrue(times.timeToLive().compareTo(repeatedAfter) > 0, "repeated after " + repeatedAfter);
    }
}
