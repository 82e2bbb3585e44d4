package io.banyantally.internal.duty;

import io.banyantally.internal.time.MonotonicClock;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Delays the repetition of an order until the first one can have taken effect. */
final class OrderThrottle<K> {

    private final MonotonicClock clock;
    private final Map<K, Long> blockedUntil = new HashMap<>();

    OrderThrottle(MonotonicClock clock) {
        this.clock = clock;
    }

    boolean isDue(K order) {
        Long until = blockedUntil.get(order);
        return until == null || clock.nanoTime() - until >= 0;
    }

    /** Makes the same order due again only after a delay. */
    void block(K order, Duration delay) {
        blockedUntil.put(order, clock.nanoTime() + delay.toNanos());
    }
}
