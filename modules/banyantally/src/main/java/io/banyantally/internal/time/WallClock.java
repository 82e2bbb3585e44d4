package io.banyantally.internal.time;

import java.time.Duration;
import java.util.function.LongSupplier;

/**
 * The time of day without short jumps. The VM's time of day may jump and jump back, so it is read once and then
 * advanced by the monotonic clock; a jump that lasts is adopted. While a VM is suspended, the monotonic clock stops and
 * the time of day does not, so elapsed times that must not be underestimated are the maximum of both.
 */
public final class WallClock {

    /** Deviations up to this are drift and are adopted at once. */
    static final Duration MAXIMUM_DRIFT = Duration.ofMillis(100);

    /**
     * A jump of the time of day that lasts longer is adopted; a clock that was set wrong is usually corrected sooner.
     */
    static final Duration JUMP_ADOPTION_DELAY = Duration.ofSeconds(20);

    private final MonotonicClock monotonic;
    private final LongSupplier timeOfDayMillis;
    private long offsetMillis;
    private long jumpSinceMillis = -1;

    /** Creates a clock from the VM's clocks. */
    public static WallClock system() {
        return new WallClock(MonotonicClock.SYSTEM, System::currentTimeMillis);
    }

    /** Creates a clock that starts at the current time of day. */
    public WallClock(MonotonicClock monotonic, LongSupplier timeOfDayMillis) {
        this.monotonic = monotonic;
        this.timeOfDayMillis = timeOfDayMillis;
        this.offsetMillis = timeOfDayMillis.getAsLong() - monotonicMillis();
    }

    /** Returns the milliseconds since the epoch of 1970-01-01T00:00:00Z. */
    public synchronized long millis() {
        long monotonicNow = monotonicMillis();
        long deviation = timeOfDayMillis.getAsLong() - (monotonicNow + offsetMillis);
        if (Math.abs(deviation) <= MAXIMUM_DRIFT.toMillis()) {
            jumpSinceMillis = -1;
            offsetMillis += deviation;
        } else if (jumpSinceMillis < 0) {
            jumpSinceMillis = monotonicNow;
        } else if (monotonicNow - jumpSinceMillis > JUMP_ADOPTION_DELAY.toMillis()) {
            jumpSinceMillis = -1;
            offsetMillis += deviation;
        }
        return monotonicNow + offsetMillis;
    }

    /** Returns the current readings of both clocks, for {@link #maximumElapsedSince}. */
    public Reading reading() {
        return new Reading(monotonic.nanoTime(), timeOfDayMillis.getAsLong());
    }

    /** Returns the longest time that may have passed since a reading: the maximum of both clocks. */
    public Duration maximumElapsedSince(Reading reading) {
        Duration monotonicElapsed = Duration.ofNanos(monotonic.nanoTime() - reading.monotonicNanos());
        Duration timeOfDayElapsed = Duration.ofMillis(timeOfDayMillis.getAsLong() - reading.timeOfDayMillis());
        return monotonicElapsed.compareTo(timeOfDayElapsed) >= 0 ? monotonicElapsed : timeOfDayElapsed;
    }

    private long monotonicMillis() {
        return monotonic.nanoTime() / 1_000_000;
    }

    /** Readings of both clocks at one moment. */
    public record Reading(long monotonicNanos, long timeOfDayMillis) {}
}
