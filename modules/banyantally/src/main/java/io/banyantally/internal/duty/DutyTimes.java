package io.banyantally.internal.duty;

import java.time.Duration;

/**
 * Times of the duties, from which the order of the last act of a holder and the first one of its successor follows. It
 * does not rest on how the store ends a lease: the former holder may have renewed until the election, so the successor
 * waits from then for as long as a renewal permits to act.
 *
 * @param timeToLive how long the lease lasts after a renewal, unless the store ends it earlier
 * @param permission how long a holder may act after it sent a renewal that succeeded
 * @param takeoverDelay the least time between the permissions of two holders
 */
public record DutyTimes(Duration timeToLive, Duration permission, Duration takeoverDelay) {

    /** A renewal without a response and its repetition take half of it. */
    private static final Duration TIME_TO_LIVE = Duration.ofSeconds(2);

    /**
     * How long before its lease expires the holder stops acting, so that calls reach their receivers before the expiry.
     */
    private static final Duration SAFETY_MARGIN = Duration.ofMillis(800);

    /** Time limit of a call of the holder. */
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(700);

    /** How much later than its time limit a call may arrive, from a busy VM or over a slow network. */
    private static final Duration DELAY_ON_THE_WAY = Duration.ofSeconds(1);

    /**
     * Returns times with which holders do not act in the order A, B, A within a time, not even if the store ends each
     * lease early. B acts only while its lease is held the takeover delay after its election, and A the wait after the
     * next one, so from the end of A's permission two takeover delays pass.
     */
    public static DutyTimes withoutTurnsWithin(Duration turnTime) {
        Duration forLastCall = CALL_TIMEOUT.plus(DELAY_ON_THE_WAY);
        Duration forTurns = turnTime.plus(forLastCall).dividedBy(2);
        return new DutyTimes(
                TIME_TO_LIVE,
                TIME_TO_LIVE.minus(SAFETY_MARGIN),
                forTurns.compareTo(forLastCall) > 0 ? forTurns : forLastCall);
    }

    /** Returns how long a new holder waits after its election before it acts. */
    public Duration takeoverWait() {
        return permission.plus(takeoverDelay);
    }
}
