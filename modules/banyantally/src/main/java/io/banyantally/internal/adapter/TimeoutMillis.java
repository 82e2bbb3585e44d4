package io.banyantally.internal.adapter;

import java.time.Duration;

/** Converts time limits for interfaces that take whole milliseconds, where zero often means no limit. */
final class TimeoutMillis {

    private static final Duration ROUND_UP = Duration.ofMillis(1).minusNanos(1);

    private TimeoutMillis() {}

    /** Returns the limit in milliseconds, rounded up so that nothing ends before it, and at least 1. */
    static long of(Duration limit) {
        return Math.max(1, limit.plus(ROUND_UP).toMillis());
    }
}
