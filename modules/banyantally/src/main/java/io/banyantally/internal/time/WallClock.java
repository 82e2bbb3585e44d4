package io.banyantally.internal.time;

import java.time.Duration;
import java.util.function.LongSupplier;

/**
 * The time of day, kept steady. The VM's time of day may jump and jump back, so it is read once and then carried on by the
 * monotonic clock; a jump that lasts is adopted. The monotonic clock stands still while a VM is suspended and the time of
 * day does not, so spans that must not be underestimated take the longer of both.
 */
public final class WallClock {

    /** Deviations up to this are drift and are followed at once. */
    static final Duration DRIFT = Duration.ofMillis(100);

    /** A jump of the time of day that lasts longer is adopted; clocks that were set wrong come back sooner. */
    static final Duration ADOPTION = Duration.ofSeconds(20);

    private final MonotonicClock monotonic;
    private final LongSupplier timeOfDayMillis;
    private long offsetMillis;
    private long deviatesSince = -1;

    /** Creates a clock from the VM's clocks. */
    public static WallClock system() {
        return new WallClock(MonotonicClock.SYSTEM, System::currentTimeMillis);
    }

    /** Creates a clock that starts at the present time of day. */
    public WallClock(MonotonicClock monotonic, LongSupplier timeOfDayMillis) {
        this.monotonic = monotonic;
        this.timeOfDayMillis = timeOfDayMillis;
        this.offsetMillis = timeOfDayMillis.getAsLong() - monotonicMillis();
    }

    /** Returns the milliseconds since the start of 1970. */
    public synchronized long millis() {
        long steady = monotonicMillis();
        long deviation = timeOfDayMillis.getAsLong() - (steady + offsetMillis);
        if (Math.abs(deviation) <= DRIFT.toMillis()) {
            deviatesSince = -1;
            offsetMillis += deviation;
        } else if (deviatesSince < 0) {
            deviatesSince = steady;
        } else if (steady - deviatesSince > ADOPTION.toMillis()) {
            deviatesSince = -1;
            offsetMillis += deviation;
        }
        return steady + offsetMillis;
    }

    /** Returns a moment for {@link #maximumElapsedSince}. */
    public Reading reading() {
        return new Reading(monotonic.nanoTime(), timeOfDayMillis.getAsLong());
    }

    /** Returns the longest time that may have passed since a reading. */
    public Duration maximumElapsedSince(Reading reading) {
        Duration steady = Duration.ofNanos(monotonic.nanoTime() - reading.monotonicNanos());
        Duration ofDay = Duration.ofMillis(timeOfDayMillis.getAsLong() - reading.timeOfDayMillis());
        return steady.compareTo(ofDay) >= 0 ? steady : ofDay;
    }

    private long monotonicMillis() {
        return monotonic.nanoTime() / 1_000_000;
    }

    /** Both clocks at one moment. */
    public record Reading(long monotonicNanos, long timeOfDayMillis) {}
}
