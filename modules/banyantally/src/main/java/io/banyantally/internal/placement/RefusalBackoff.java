package io.banyantally.internal.placement;

import java.time.Duration;

/**
 * How long one upstream is avoided after refusals. The time doubles with each refusal that follows another one, since an
 * upstream that refuses everything, such as an engine that changes its stage, seems idle and attracts requests.
 */
final class RefusalBackoff {

    /** After a single refusal; a queue that was full drains within some ten milliseconds. */
    static final Duration MINIMUM = Duration.ofMillis(150);

    /** An upstream that accepts requests again gets some within a second. */
    static final Duration MAXIMUM = Duration.ofMillis(800);

    /** Refusals further apart are unrelated. */
    private static final Duration MEMORY = Duration.ofSeconds(2);

    private Duration next = MINIMUM;
    private long refusedAt;
    private long until;
    private boolean everRefused;

    /**
     * Records a refusal of a request that was sent at {@code sentAt}. Refusals of requests that were sent before the last
     * refusal came are not a further sign.
     */
    void recordRefusal(long sentAt, long now) {
        boolean repeated = everRefused && now - refusedAt < MEMORY.toNanos();
        if (repeated && sentAt - refusedAt < 0) {
            return;
        }
        Duration avoidance = repeated ? next : MINIMUM;
        next = avoidance.multipliedBy(2).compareTo(MAXIMUM) < 0 ? avoidance.multipliedBy(2) : MAXIMUM;
        until = now + avoidance.toNanos();
        refusedAt = now;
        everRefused = true;
    }

    /** Records that the upstream has accepted a request. */
    void recordAccepted() {
        next = MINIMUM;
    }

    /** Returns how much longer the upstream is avoided, in nanoseconds; 0 or less if it is not. */
    long remainingNanos(long now) {
        return everRefused ? until - now : 0;
    }
}
