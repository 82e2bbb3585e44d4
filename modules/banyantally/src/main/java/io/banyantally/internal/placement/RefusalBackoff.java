package io.banyantally.internal.placement;

import java.time.Duration;

/**
 * How long one upstream is avoided after refusals. The time doubles with each refusal that follows another one, since an
 * upstream that refuses everything, such as an engine that changes its stage, seems idle and attracts requests. After it,
 * the upstream is on probation: it gets one request at a time until it accepts one.
 */
final class RefusalBackoff {

    /** After a single refusal; a queue that was full drains within some ten milliseconds. */
    static final Duration MINIMUM = Duration.ofMillis(150);

    /** An upstream that accepts requests again gets some within a second. */
    static final Duration MAXIMUM = Duration.ofMillis(800);

    /** Refusals further apart are unrelated. */
    private static final Duration MEMORY = Duration.ofSeconds(2);

    /** The end of the probation of an upstream that this process sends nothing to. */
    static final Duration PROBATION = Duration.ofSeconds(1);

    private Duration next = MINIMUM;
    private long refusedAt;
    private long until;
    private boolean everAvoided;
    private boolean refusing;

    /**
     * Records a refusal of a request that was sent at {@code sentAt}. Refusals of requests that were sent before the last
     * refusal came are not a further sign. As VMs learn of a refusal only when it comes, the upstream is avoided for at
     * least as long as it took.
     */
    void recordRefusal(long sentAt, long now) {
        boolean repeated = everAvoided && now - refusedAt < MEMORY.toNanos();
        if (repeated && sentAt - refusedAt < 0) {
            return;
        }
        Duration taken = Duration.ofNanos(Math.max(0, now - sentAt));
        Duration avoidance = shorter(longer(repeated ? next : MINIMUM, taken), MAXIMUM);
        next = shorter(avoidance.multipliedBy(2), MAXIMUM);
        refusedAt = now;
        avoid(avoidance, now);
    }

    /** Avoids the upstream for a time that is known, such as that of an order that it carries out. */
    void avoid(Duration time, long now) {
        if (!everAvoided || now + time.toNanos() - until > 0) {
            until = now + time.toNanos();
        }
        everAvoided = true;
        refusing = true;
    }

    /** Records that the upstream has accepted a request. */
    void recordAccepted() {
        next = MINIMUM;
        refusing = false;
    }

    /** Returns how much longer the upstream is avoided, in nanoseconds; 0 or less if it is not. */
    long remainingNanos(long now) {
        return everAvoided ? until - now : 0;
    }

    /** Returns whether the upstream has accepted nothing since it was avoided, and that was lately. */
    boolean isOnProbation(long now) {
        return refusing && now - until >= 0 && now - until < PROBATION.toNanos();
    }

    private static Duration shorter(Duration one, Duration other) {
        return one.compareTo(other) <= 0 ? one : other;
    }

    private static Duration longer(Duration one, Duration other) {
        return one.compareTo(other) >= 0 ? one : other;
    }
}
