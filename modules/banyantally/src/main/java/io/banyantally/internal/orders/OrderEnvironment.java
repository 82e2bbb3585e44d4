package io.banyantally.internal.orders;

import io.banyantally.internal.invariant.Invariants;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.time.Sleeper;
import io.banyantally.internal.timeline.Timeline;

/** Dependencies that the order executors of one process share. */
public record OrderEnvironment(
        OrderSettings settings, MonotonicClock clock, Sleeper sleeper, Timeline timeline, Invariants invariants) {}
