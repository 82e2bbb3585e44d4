package io.banyantally.internal.placement;

import java.time.Duration;
import java.util.Arrays;

/** Adds up sends, or their units, in a sliding window of up to 20 s, in steps of 100 ms. */
final class SendWindow {

    static final Duration MAXIMUM = Duration.ofSeconds(20);

    private static final long STEP_NANOS = Duration.ofMillis(100).toNanos();
    private static final int STEPS = (int) (MAXIMUM.toNanos() / STEP_NANOS) + 1;

    private final long[] counts = new long[STEPS];
    private long newestStep;

    /** Creates an empty window; times are monotonic, in nanoseconds, and may be negative. */
    SendWindow(long now) {
        newestStep = Math.floorDiv(now, STEP_NANOS);
    }

    /** Counts units that are sent now. */
    void add(long units, long now) {
        advance(now);
        counts[index(newestStep)] += units;
    }

    /** Takes back units that were added at a time; does nothing once they have left the window. */
    void remove(long units, long addedAt) {
        long step = Math.floorDiv(addedAt, STEP_NANOS);
        if (newestStep - step < STEPS) {
            counts[index(step)] -= units;
        }
    }

    /** Returns the sends of the last {@code window}; those of a step count until all of it is older. */
    long count(long now, Duration window) {
        advance(now);
        long steps = Math.min(STEPS, window.toNanos() / STEP_NANOS + 1);
        long total = 0;
        for (long step = newestStep - steps + 1; step <= newestStep; step++) {
            total += counts[index(step)];
        }
        return total;
    }

    private void advance(long now) {
        long step = Math.floorDiv(now, STEP_NANOS);
        if (step - newestStep >= STEPS) {
            Arrays.fill(counts, 0);
            newestStep = step;
        }
        while (newestStep < step) {
            newestStep++;
            counts[index(newestStep)] = 0;
        }
    }

    private static int index(long step) {
        return Math.floorMod(step, STEPS);
    }
}
