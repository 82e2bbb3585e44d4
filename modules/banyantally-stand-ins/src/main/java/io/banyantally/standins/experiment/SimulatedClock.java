package io.banyantally.standins.experiment;

import io.banyantally.internal.time.MonotonicClock;

/** The clock of a simulated run; only the simulation advances it. */
final class SimulatedClock implements MonotonicClock {
    private long now = 1;

    @Override
    public long nanoTime() {
        return now;
    }

    void moveTo(long nanoTime) {
        now = nanoTime;
    }
}
