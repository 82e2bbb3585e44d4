package io.banyantally.internal.duty;

import io.banyantally.internal.time.MonotonicClock;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Keeps orders of the same kind apart, so that one is not repeated before it can have taken effect. */
final class OrderPacing<K> {

    private final MonotonicClock clock;
    private final Map<K, Long> blockedUntil = new HashMap<>();

    OrderPacing(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Returns whether an order may be placed now. */
    boolean isDue(K order) {
        Long until = blockedUntil.get(order);
        return until == null || clock.nanoTime() - until >= 0;
    }

    /** Blocks an order for a time. */
    void block(K order, Duration time) {
        blockedUntil.put(order, clock.nanoTime() + time.toNanos());
    }
}
